package segment

import (
	"net/netip"

	"fulmarmount.org/core/view"
)

// reportLoad reports the load to a balancer at once, for the service for which the
// balancer has selected the backend server: an agent without configuration does not know
// it. A balancer that learns of a cold backend server's limit tries it again as soon as it
// may, not after the time for one that has failed.
func (a *Agent) reportLoad(balancer netip.AddrPort, service view.ServiceID) {
	n := a.newNotification(false)
	n.Service = service
	a.sendNotification(balancer, zeroTuple, n)
}
