package subscribe

// Detour counts the control processes that have taken a stream and ended it without a
// word, one after the other: each belongs to no control group or knows no leader.
//
// It answers the load after a loss of power with lost disks: a part of the control
// processes has nothing to serve, and a daemon whose order begins with one of them would
// wait for its delay while the others serve already.
type Detour struct{ refusals int }

// RecordRefusal records that one of n control processes has turned the daemon away, and
// reports whether the next one is to be tried without a delay. After a round it is not.
func (d *Detour) RecordRefusal(n int) (tryNext bool) {
	d.refusals++
	if d.refusals < n {
		return true
	}
	d.refusals = 0
	return false
}

// Reset forgets the refusals: a control process serves.
func (d *Detour) Reset() { d.refusals = 0 }
