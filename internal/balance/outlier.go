package balance

import (
	"sort"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// evaluateEvery is the interval between two judgements of the targets.
	evaluateEvery = 500 * time.Millisecond
	// minSamples is the number of attempts before a target is judged.
	minSamples = 10
	// ejectRatio and returnRatio bound the hysteresis: a target is ejected above 3 times the median latency, and counts
	// as recovered below 1.5 times.
	ejectRatio  = 3.0
	returnRatio = 1.5
	// ejectFailures is the moving average of failures from which a target is ejected.
	ejectFailures = 0.5
	// ejectAfter is the number of consecutive judgements that must agree, so that one burst ejects nobody.
	ejectAfter = 2
	// ejectFor is the length of the first ejection; it doubles with each one in a row, up to ejectForMax.
	ejectFor    = 2 * time.Second
	ejectForMax = 32 * time.Second
	// returnOver is the time over which the share of a returning target grows from returnShare to 1.
	returnOver  = 5 * time.Second
	returnShare = 0.1
	percent     = 100
)

// health is the latency record of one target.
type health struct {
	target   model.TargetID
	latency  float64 // moving average in seconds
	failures float64 // moving average of 0 and 1
	samples  int
	bad      int // consecutive judgements above the limit
	strikes  int // ejections in a row
	ejected  bool
	until    model.Instant // end of the ejection
	// returning is true from the end of an ejection until the target has recovered.
	returning bool
}

func (h *health) observe(seen Observation) {
	gain := latencyGain
	if h.samples < 1/latencyGain {
		gain = 1 / float64(h.samples+1)
	}
	failed := 0.0
	if seen.Failed {
		failed = 1
	}
	h.latency += gain * (seen.Latency.Seconds() - h.latency)
	h.failures += gain * (failed - h.failures)
	h.samples++
}

// share returns the part of its normal requests that the target may get, from 0 to 1.
func (h *health) share(now model.Instant) float64 {
	switch {
	case h.ejected && now < h.until:
		return 0
	case h.ejected || h.returning:
		progress := float64(now.Sub(h.until)) / float64(returnOver)
		return min(1, returnShare+(1-returnShare)*progress)
	default:
		return 1
	}
}

// outliers judges the targets of one service.
type outliers struct {
	maxPercent float64
	next       model.Instant
	median     float64 // seconds; 0 if unknown
}

// slowness returns the latency relative to the median, or 1 if either is unknown.
func (o *outliers) slowness(h *health) float64 {
	if o.median <= 0 || h.samples < minSamples {
		return 1
	}
	return h.latency / o.median
}

// evaluate judges all targets when the interval has passed.
func (o *outliers) evaluate(now model.Instant, targets map[model.TargetID]*tracked) {
	if now < o.next {
		return
	}
	o.next = now.Add(evaluateEvery)
	o.endEjections(now, targets)
	judged := judgedTargets(targets)
	if len(judged) < 3 {
		return
	}
	o.median = median(judged)
	for _, h := range judged {
		o.judge(now, h, targets)
	}
}

func (o *outliers) endEjections(now model.Instant, targets map[model.TargetID]*tracked) {
	for _, state := range targets {
		h := &state.health
		if h.ejected && now >= h.until {
			h.ejected, h.returning = false, true
			h.samples, h.latency, h.failures, h.bad = 0, 0, 0, 0
		}
	}
}

// judgedTargets returns the targets with enough samples, slowest first, so that the cap ejects the worst.
func judgedTargets(targets map[model.TargetID]*tracked) []*health {
	var judged []*health
	for _, state := range targets {
		if h := &state.health; !h.ejected && h.samples >= minSamples {
			judged = append(judged, h)
		}
	}
	sort.Slice(judged, func(i, j int) bool {
		if judged[i].latency != judged[j].latency {
			return judged[i].latency > judged[j].latency
		}
		return judged[i].target < judged[j].target
	})
	return judged
}

// median returns the median latency of targets sorted by latency.
func median(sorted []*health) float64 {
	return sorted[len(sorted)/2].latency
}

func (o *outliers) judge(now model.Instant, h *health, targets map[model.TargetID]*tracked) {
	ratio := o.slowness(h)
	if h.failures < ejectFailures && ratio < ejectRatio {
		h.bad = 0
		if h.returning && ratio < returnRatio && h.share(now) >= 1 {
			h.returning, h.strikes = false, 0
		}
		return
	}
	h.bad++
	if h.bad < ejectAfter || !o.mayEject(targets) {
		return
	}
	length := min(ejectForMax, ejectFor<<min(h.strikes, 10))
	h.ejected, h.returning, h.until = true, false, now.Add(length)
	h.strikes++
}

func (o *outliers) mayEject(targets map[model.TargetID]*tracked) bool {
	ejected := 0
	for _, state := range targets {
		if state.health.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= float64(len(targets))*o.maxPercent/percent
}
