package main

import (
	"sort"
	"strings"
	"time"
)

// thaw is how late grants of a sender that stood still do not count.
const thaw = 300 * time.Millisecond

// judgeOwner reports whether two instances that are up held the same key for over half a second, or both began requests on a key that
// both held.
func judgeOwner(w *world) bool {
	events := w.all(func(e event) bool {
		switch e.Event {
		case "up", "gone", "grant", "release", "begin":
			return true
		}
		return false
	})
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	until := map[string]*[keys]int64{}
	type overlap struct {
		since int64
		began map[string]bool
	}
	open := map[int]*overlap{}
	broken := 0
	holders := func(at int64, key int) []string {
		var list []string
		for id, held := range until {
			if held[key] > at {
				list = append(list, id)
			}
		}
		return list
	}
	noted := map[int64]int{}
	report := func(at int64, key int, text string) {
		broken++
		if second := at / 1_000_000; noted[second] < 3 {
			noted[second]++
			w.note("OWNER at %.3f s: key %d is held by %s: %s", time.UnixMicro(at).Sub(w.started).Seconds(), key, strings.Join(holders(at, key), " and "), text)
		}
	}
	scanned := int64(0)
	scan := func(at int64) {
		for key := 0; key < keys; key += 8 {
			if len(holders(at, key)) < 2 {
				delete(open, key)
				continue
			}
			o := open[key]
			if o == nil {
				open[key] = &overlap{since: at, began: map[string]bool{}}
				continue
			}
			if at-o.since > 500_000 {
				report(at, key, "for over half a second")
				o.since = at + 3_600_000_000
			}
		}
	}
	began := map[int]map[string]int64{}
	for _, e := range events {
		if e.At-scanned > 100_000 {
			scan(e.At)
			scanned = e.At
		}
		switch e.Event {
		case "up", "gone":
			until[e.Instance] = &[keys]int64{}
		case "grant":
			for key := e.Keys.From; key <= e.Keys.To; key++ {
				until[e.Instance][key] = e.Keys.Until
			}
		case "release":
			for key := e.Keys.From; key <= e.Keys.To; key++ {
				until[e.Instance][key] = 0
			}
		case "begin":
			if strings.HasPrefix(e.Path, "/drafts/") {
				list := holders(e.At, e.Key)
				if len(list) < 2 {
					delete(began, e.Key)
					continue
				}
				if began[e.Key] == nil {
					began[e.Key] = map[string]int64{}
				}
				began[e.Key][e.Instance] = e.At
				if len(began[e.Key]) > 1 {
					report(e.At, e.Key, "both began requests")
				}
			}
		}
	}
	w.note("OWNER: %d violations", broken)
	return broken > 0
}

// judgeRuns reports whether a request that is not idempotent ran twice or was refused although it ran, whether a success is not sealed,
// and whether a request ran that no client sent.
func judgeRuns(w *world) bool {
	sent, runs, broken := map[string]event{}, map[string]int{}, 0
	fail := func(format string, args ...any) {
		broken++
		w.note(format, args...)
	}
	for _, e := range w.all(func(e event) bool { return e.Event == "sent" }) {
		sent[e.ID] = e
	}
	for _, e := range w.all(func(e event) bool { return e.Event == "begin" }) {
		runs[e.ID]++
		if _, known := sent[e.ID]; !known {
			fail("UNASKED: %s ran at %s", e.ID, e.Instance)
		}
		if runs[e.ID] > 1 && !strings.HasPrefix(e.Path, "/reads/") {
			fail("TWICE: %s %s", e.ID, e.Path)
		}
	}
	counts := map[string]int{}
	for _, e := range w.all(func(e event) bool { return e.Event == "answer" }) {
		counts[e.Path+" "+e.Text[:min(len(e.Text), 10)]]++
		if strings.HasPrefix(e.Text, "status 200 sealed false") {
			fail("MIXED: %s", e.ID)
		}
		if strings.HasPrefix(e.Path, "/reads/") || runs[e.ID] == 0 {
			continue
		}
		for _, status := range []string{"408", "421", "429", "503"} {
			if strings.HasPrefix(e.Text, "status "+status) {
				fail("REFUSED: %s %s ran and got %s", e.ID, e.Path, e.Text)
			}
		}
	}
	w.note("answers: %v", counts)
	return broken > 0
}
