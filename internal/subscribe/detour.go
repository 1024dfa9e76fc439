package subscribe

// Detour counts the control processes that have taken a stream and ended it without a
// word, one after the other: each belongs to no control group or knows no leader.
//
// It answers the load after a loss of power with lost disks: a part of the control
// processes has nothing to serve, and a daemon whose order begins with one of them would
// wait for its delay while the others serve already.
type Detour struct{ refusals int }

// Next records that a control process of n has turned the daemon away, and reports
// whether the next one is to be tried without a delay. After a round it is not.
func (d *Detour) Next(n int) bool {
	d.refusals++
	if d.refusals < n {
		return true
	}
	d.refusals = 0
	return false
}

// End ends the detour: a control process serves.
func (d *Detour) End() { d.refusals = 0 }
