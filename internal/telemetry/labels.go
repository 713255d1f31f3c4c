package telemetry

import (
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// otherLabel is the label of all values that have no label of their own.
const otherLabel = "other"

// labelSet bounds the number of series: the first limit values have labels of their own, and all others share
// otherLabel. A value keeps its own label until the process ends. It is safe for concurrent use.
type labelSet struct {
	mu    sync.RWMutex
	limit int
	known map[string]struct{}
}

func newLabelSet(limit int) *labelSet {
	return &labelSet{limit: limit, known: map[string]struct{}{}}
}

// label returns the label of a value. A new value gets a label of its own while there is room.
func (s *labelSet) label(value string) string {
	s.mu.RLock()
	_, found := s.known[value]
	s.mu.RUnlock()
	if found {
		return value
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found = s.known[value]; !found {
		if len(s.known) >= s.limit {
			return otherLabel
		}
		s.known[value] = struct{}{}
	}
	return value
}

// evidenceLabel returns the label for the evidence of a slot reassignment.
func evidenceLabel(evidence record.Evidence) string {
	switch evidence {
	case record.EvidenceUnowned:
		return "unowned"
	case record.EvidenceRevoked:
		return "revoked"
	case record.EvidenceLeaseExpired:
		return "lapsed"
	case record.EvidenceVMTerminated:
		return "gone"
	default:
		return otherLabel
	}
}
