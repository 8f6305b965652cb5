package steward

// isEvacuated reports whether the server is in an evacuated failure domain, at this moment: an
// evacuation may be demanded or withdrawn during an attempt.
func (a *attempt) isEvacuated(m *member) bool {
	return a.t.IsEvacuated != nil && a.t.IsEvacuated(m.Domain)
}
