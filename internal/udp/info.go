package udp

import (
	"encoding/binary"
	"net/netip"

	"golang.org/x/sys/unix"
)

// pktinfoSize is the length of struct in_pktinfo: interface index, local
// address and header destination, four bytes each.
const pktinfoSize = 12

// destination returns the destination address in the packet-info message of a
// received datagram. It reads the one message in place, since the library's
// parser allocates for every packet.
func destination(oob []byte) (netip.Addr, bool) {
	header := unix.SizeofCmsghdr
	if len(oob) < header+pktinfoSize {
		return netip.Addr{}, false
	}
	level := binary.NativeEndian.Uint32(oob[header-8:])
	kind := binary.NativeEndian.Uint32(oob[header-4:])
	if level != unix.IPPROTO_IP || kind != unix.IP_PKTINFO {
		return netip.Addr{}, false
	}
	info := oob[header : header+pktinfoSize]
	return netip.AddrFrom4([4]byte(info[8:12])), true
}

// source appends a packet-info message that sets the source address of a
// datagram to send.
func source(oob []byte, from netip.Addr) []byte {
	length := unix.CmsgLen(pktinfoSize)
	oob = binary.NativeEndian.AppendUint64(oob, uint64(length))
	oob = binary.NativeEndian.AppendUint32(oob, unix.IPPROTO_IP)
	oob = binary.NativeEndian.AppendUint32(oob, unix.IP_PKTINFO)
	oob = append(oob, 0, 0, 0, 0)
	ip := from.As4()
	oob = append(oob, ip[:]...)
	oob = append(oob, 0, 0, 0, 0)
	return append(oob, make([]byte, unix.CmsgSpace(pktinfoSize)-length)...)
}
