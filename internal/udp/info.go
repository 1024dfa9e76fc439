package udp

import (
	"encoding/binary"
	"net/netip"

	"golang.org/x/sys/unix"
)

// pktinfoSize is the length in bytes of struct in_pktinfo: interface index, local
// address and destination address of the IP header, four bytes each.
const pktinfoSize = 12

// parseDestination returns the destination address in the IP_PKTINFO control
// message of a received datagram. It reads the single message in place because
// the library's parser allocates for every packet.
func parseDestination(oob []byte) (netip.Addr, bool) {
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

// appendSource appends an IP_PKTINFO control message that sets the source address
// of an outgoing datagram.
func appendSource(oob []byte, from netip.Addr) []byte {
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
