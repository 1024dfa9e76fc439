package segment

import "net/netip"

// reportLoad reports the load to a balancer at once. A balancer that learns of a cold
// backend server's limit tries it again as soon as it may, not after the time for one that
// has failed.
func (a *Agent) reportLoad(balancer netip.AddrPort) {
	a.sendNotification(balancer, zeroTuple, a.newNotification(false))
}
