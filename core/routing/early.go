package routing

// IsEarly reports whether the segment was dropped only because the balancer does not know
// enough yet: the configuration is not confirmed, or views may lack members. Such a
// segment is worth deciding about again once it knows more, unless it is the caller's
// reset: no caller waits for that.
//
// It answers the load after a loss of power, when segments reach a balancer a moment before
// its configuration and views do.
func (d *Decision) IsEarly(s *Segment) bool {
	if d.Verdict != Drop || s.HasFlags(RST) {
		return false
	}
	return d.Reason == ReasonConfigUnconfirmed || d.Reason == ReasonPartialView
}
