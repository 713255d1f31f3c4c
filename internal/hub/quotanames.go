package hub

// quotaNames are the names of the VMs to which a leader may grant quotas. They are in the store before, so that the next leader knows
// whose claims to wait for.
type quotaNames struct {
	// admitted are the names that may get parts in this term, and reported those of them that asked for some.
	admitted, reported map[string]bool
	// wanted are the names that asked and are not admitted yet.
	wanted map[string]bool
}

func newQuotaNames() quotaNames {
	return quotaNames{admitted: map[string]bool{}, reported: map[string]bool{}, wanted: map[string]bool{}}
}

// admits reports whether a VM may get parts, and notes that it asks for some.
func (q *quotaNames) admits(name string) bool {
	if !q.admitted[name] {
		q.wanted[name] = true
		return false
	}
	q.reported[name] = true
	return true
}

// QuotaTerm returns the number of this VM's present term of leadership. The methods below have no effect in another term.
func (s *Server) QuotaTerm() uint64 { return s.currentTerm() }

// AwaitQuotaNames admits all VMs to which former leaders may have granted quotas, and waits for their claims. The names must have been
// read from the store after the term began. isComplete is false if there may be others.
func (s *Server) AwaitQuotaNames(term uint64, names []string, isComplete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term {
		return
	}
	s.admit(names)
	if isComplete {
		s.quotas.Await(s.now(), names)
	}
}

// AdmitQuotaNames admits VMs that asked for quotas in this term and whose names are in the store now.
func (s *Server) AdmitQuotaNames(term uint64, names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term {
		return
	}
	s.admit(names)
	for _, name := range names {
		s.quotaNames.reported[name] = true
	}
}

func (s *Server) admit(names []string) {
	for _, name := range names {
		s.quotaNames.admitted[name] = true
		delete(s.quotaNames.wanted, name)
	}
}

// WantedQuotaNames returns the names of VMs that asked for quotas and are not admitted.
func (s *Server) WantedQuotaNames(term uint64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term {
		return nil
	}
	return keysOf(s.quotaNames.wanted)
}

// ReduceQuotaNames admits only the VMs that have asked for quotas in this term any more, and returns their names. It returns false while
// others may still hold parts of former leaders.
func (s *Server) ReduceQuotaNames(term uint64) ([]string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term || !s.quotas.Settled(s.now()) {
		return nil, false
	}
	for name := range s.quotaNames.admitted {
		if !s.quotaNames.reported[name] {
			delete(s.quotaNames.admitted, name)
		}
	}
	return keysOf(s.quotaNames.admitted), true
}

func keysOf(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	return keys
}
