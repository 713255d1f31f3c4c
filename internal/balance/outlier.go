package balance

import (
	"sort"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

const (
	// evaluationInterval is the time between two evaluations of the targets.
	evaluationInterval = 500 * time.Millisecond
	// minSamples is the number of attempts before a target is evaluated.
	minSamples = 10
	// ejectRatio and recoveryRatio bound the hysteresis: a target is ejected at 3 times the median latency or more, and
	// counts as recovered below 1.5 times.
	ejectRatio    = 3.0
	recoveryRatio = 1.5
	// ejectFailures is the moving average of failures at or above which a target is ejected.
	ejectFailures = 0.5
	// ejectAfterEvaluations is the number of consecutive evaluations that must agree, so that one burst ejects no target.
	ejectAfterEvaluations = 2
	// firstEjection is the duration of the first ejection; it doubles with each ejection in a row, up to maxEjection.
	firstEjection = 2 * time.Second
	maxEjection   = 32 * time.Second
	// recoveryTime is the time in which the share of a recovering target grows from recoveryStartShare to 1.
	recoveryTime       = 5 * time.Second
	recoveryStartShare = 0.1
	percent            = 100
)

// health is the record of the latency and failures of one target.
type health struct {
	target         model.TargetID
	latency        float64 // moving average in seconds
	failures       float64 // moving average of 0 and 1
	samples        int
	badEvaluations int // consecutive evaluations at or above a limit
	ejections      int // ejections in a row
	ejected        bool
	ejectedUntil   model.Instant // end of the ejection
	// recovering is true from the end of an ejection until the target has recovered.
	recovering bool
}

func (h *health) observe(observation Observation) {
	// The first 1/latencyGain samples are averaged with equal weight.
	gain := latencyGain
	if h.samples < 1/latencyGain {
		gain = 1 / float64(h.samples+1)
	}
	failed := 0.0
	if observation.Failed {
		failed = 1
	}
	h.latency += gain * (observation.Latency.Seconds() - h.latency)
	h.failures += gain * (failed - h.failures)
	h.samples++
}

// share returns the fraction of its normal requests that the target may receive, from 0 to 1.
func (h *health) share(now model.Instant) float64 {
	switch {
	case h.ejected && now < h.ejectedUntil:
		return 0
	case h.ejected || h.recovering:
		progress := float64(now.Sub(h.ejectedUntil)) / float64(recoveryTime)
		return min(1, recoveryStartShare+(1-recoveryStartShare)*progress)
	default:
		return 1
	}
}

// outliers ejects targets of one service that fail often or whose latency is far above the median.
type outliers struct {
	maxPercent     float64
	nextEvaluation model.Instant
	median         float64 // seconds; 0 if unknown
}

// slowness returns the latency relative to the median, or 1 if either is unknown.
func (o *outliers) slowness(h *health) float64 {
	if o.median <= 0 || h.samples < minSamples {
		return 1
	}
	return h.latency / o.median
}

// evaluate evaluates all targets once evaluationInterval has passed since the last evaluation.
func (o *outliers) evaluate(now model.Instant, targets map[model.TargetID]*tracked) {
	if now < o.nextEvaluation {
		return
	}
	o.nextEvaluation = now.Add(evaluationInterval)
	o.endEjections(now, targets)
	sampled := sampledTargets(targets)
	if len(sampled) < 3 {
		return
	}
	o.median = median(sampled)
	for _, h := range sampled {
		o.evaluateTarget(now, h, targets)
	}
}

func (o *outliers) endEjections(now model.Instant, targets map[model.TargetID]*tracked) {
	for _, state := range targets {
		h := &state.health
		if h.ejected && now >= h.ejectedUntil {
			h.ejected, h.recovering = false, true
			h.samples, h.latency, h.failures, h.badEvaluations = 0, 0, 0, 0
		}
	}
}

// sampledTargets returns the targets with enough samples, slowest first, so that the slowest are ejected up to the cap.
func sampledTargets(targets map[model.TargetID]*tracked) []*health {
	var sampled []*health
	for _, state := range targets {
		if h := &state.health; !h.ejected && h.samples >= minSamples {
			sampled = append(sampled, h)
		}
	}
	sort.Slice(sampled, func(i, j int) bool {
		if sampled[i].latency != sampled[j].latency {
			return sampled[i].latency > sampled[j].latency
		}
		return sampled[i].target < sampled[j].target
	})
	return sampled
}

// median returns the median latency of targets sorted by latency.
func median(sorted []*health) float64 {
	return sorted[len(sorted)/2].latency
}

func (o *outliers) evaluateTarget(now model.Instant, h *health, targets map[model.TargetID]*tracked) {
	ratio := o.slowness(h)
	if h.failures < ejectFailures && ratio < ejectRatio {
		h.badEvaluations = 0
		if h.recovering && ratio < recoveryRatio && h.share(now) >= 1 {
			h.recovering, h.ejections = false, 0
		}
		return
	}
	h.badEvaluations++
	if h.badEvaluations < ejectAfterEvaluations || !o.mayEject(targets) {
		return
	}
	length := min(maxEjection, firstEjection<<min(h.ejections, 10))
	h.ejected, h.recovering, h.ejectedUntil = true, false, now.Add(length)
	h.ejections++
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
