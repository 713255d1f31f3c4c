package telemetry

import (
	"sync"

	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// otherLabel stands for all values that have no label of their own.
const otherLabel = "other"

// labelSet gives the first values their own label and all others otherLabel, so that the number of series is bounded. A value
// keeps its label for the life of the process. It is safe for concurrent use.
type labelSet struct {
	mu    sync.RWMutex
	limit int
	known map[string]struct{}
}

func newLabelSet(limit int) *labelSet {
	return &labelSet{limit: limit, known: map[string]struct{}{}}
}

// label returns the label of a value.
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

// evidenceLabel returns the name of an evidence.
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
