package main

import (
	"fmt"
	"net/netip"

	"fulmarmount.org/core/dissemination"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/proto"
)

// hostsPerService is the size of the services that are measured.
const hostsPerService = 7

func zoneOf(i int) string { return fmt.Sprintf("region-%d-zone-%d", i%6, i%12/6) }

func hostAddr(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), port)
}

func serviceAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(i >> 8), byte(i)}), 443)
}

func serviceName(i int) string { return fmt.Sprintf("service-%05d", i) }

// serviceView returns the view of a service with some hosts.
func serviceView(service, hosts int, at view.Version) *view.View {
	members := make([]view.BackendServer, 0, hosts)
	for i := range hosts {
		host := service*hosts + i
		members = append(members, view.BackendServer{
			ID:          fmt.Sprintf("%s-host-%06d", serviceName(service), host),
			Zone:        zoneOf(host),
			Incarnation: view.Incarnation(1_764_800_000_000_000_000 + host),
			Packets:     hostAddr(host, 7600),
			Requests:    hostAddr(host, 7601),
			State:       view.Ready,
			Weight:      view.FullWeight,
			Slots:       4,
		})
	}
	return view.New(view.ServiceID(service+1), at, members)
}

func service(i int) proto.Service {
	return proto.Service{
		ID:        view.ServiceID(i + 1),
		Name:      serviceName(i),
		Mode:      proto.ModePacket,
		Addresses: []netip.AddrPort{serviceAddr(i)},
	}
}

func viewItem(i int, at view.Version) dissemination.Item {
	it, err := proto.ViewItem(serviceName(i), at, serviceView(i, hostsPerService, at))
	must(err)
	return it
}

func serviceItem(i int, at view.Version) dissemination.Item {
	it, err := proto.ServiceItem(service(i), at)
	must(err)
	return it
}

// must ends the tool where a measurement cannot be made.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
