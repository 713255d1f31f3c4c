package control

import (
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

const (
	// tailLength is the number of folded records that trimming keeps for peers that are behind; up to twice as many
	// are held between trims.
	tailLength = 2048
	// fetchLimit is the maximum number of records in one reply to a peer.
	fetchLimit = 256
)

// fold is the deterministic fold of one stream.
type fold interface {
	Offset() model.Offset
	// Apply folds the next record. It fails only if the record does not follow the last one.
	Apply(entry record.Entry) error
	Snapshot() (record.Snapshot, error)
	// Load replaces the state with a snapshot.
	Load(snapshot record.Snapshot) error
}

// stream passes records from the log and from peers to a fold. They may arrive in any order and overlap.
type stream struct {
	name record.Stream
	fold fold
	// tail holds the records that were folded last, in order.
	tail []record.Entry
	// ahead holds records from the log that cannot be folded yet because the records before them have expired.
	ahead []record.Entry
	// end is the highest offset known to exist in the log.
	end model.Offset
	// synced is true once the fold has reached the end that a read of the log reported.
	synced    bool
	fetchedAt model.Instant
}

// ingest folds the entries that directly follow the fold's offset and buffers those after a gap. It returns the folded
// entries.
func (s *stream) ingest(entries []record.Entry) []record.Entry {
	var folded []record.Entry
	for _, entry := range entries {
		s.end = max(s.end, entry.Offset)
		switch {
		case entry.Offset <= s.fold.Offset():
		case entry.Offset == s.fold.Offset()+1:
			if s.apply(entry) {
				folded = append(folded, entry)
			}
		default:
			s.bufferAhead(entry)
		}
	}
	return append(folded, s.closeGap()...)
}

func (s *stream) apply(entry record.Entry) bool {
	if err := s.fold.Apply(entry); err != nil {
		return false
	}
	s.tail = append(s.tail, entry)
	if len(s.tail) > 2*tailLength {
		s.tail = append([]record.Entry(nil), s.tail[len(s.tail)-tailLength:]...)
	}
	return true
}

func (s *stream) bufferAhead(entry record.Entry) {
	if count := len(s.ahead); count > 0 && s.ahead[count-1].Offset+1 != entry.Offset {
		if entry.Offset <= s.ahead[count-1].Offset {
			return
		}
		s.ahead = nil
	}
	s.ahead = append(s.ahead, entry)
}

// closeGap loads the newest buffered snapshot that covers the gap, if there is one, and folds the entries that follow
// it.
func (s *stream) closeGap() []record.Entry {
	for i := len(s.ahead) - 1; i >= 0; i-- {
		snapshot := s.ahead[i].Record.Snapshot
		if snapshot == nil || snapshot.Covers+1 < s.ahead[0].Offset || snapshot.Covers <= s.fold.Offset() {
			continue
		}
		ahead := s.ahead
		if !s.load(*snapshot) {
			continue
		}
		var folded []record.Entry
		for _, entry := range ahead {
			if entry.Offset == s.fold.Offset()+1 && s.apply(entry) {
				folded = append(folded, entry)
			}
		}
		return folded
	}
	return nil
}

// load replaces the state with a snapshot if that is newer. It reports whether it did.
func (s *stream) load(snapshot record.Snapshot) bool {
	if snapshot.Covers <= s.fold.Offset() {
		return false
	}
	if err := s.fold.Load(snapshot); err != nil {
		return false
	}
	s.tail = nil
	s.ahead = nil
	s.end = max(s.end, snapshot.Covers)
	return true
}

// from returns up to fetchLimit folded records starting at an offset. ok is false if the tail no longer contains that
// offset.
func (s *stream) from(offset model.Offset) (entries []record.Entry, ok bool) {
	if offset > s.fold.Offset() {
		return nil, true
	}
	if len(s.tail) == 0 || s.tail[0].Offset > offset {
		return nil, false
	}
	start := int(offset - s.tail[0].Offset)
	return s.tail[start:min(len(s.tail), start+fetchLimit)], true
}
