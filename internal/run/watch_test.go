package run

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/node"
)

func settingsText(control string, zones ...string) []byte {
	return []byte("[process]\nname = a\nzone = z\nroles = balancer, agent, control\ndata_dir = d\n\n" +
		"[adapter]\nzones = " + strings.Join(zones, ",") + "\n\n" +
		"[join]\ncontrol = " + control + "\nport = 7000\n\n[balancer]\npackets = 127.0.0.1:1\n\n" +
		"[control]\nlisten = 127.0.0.1:2\ncluster = c\n\n" +
		"[agent.s]\nid = x\nbackend = 127.0.0.1:3\npackets = 127.0.0.1:4\nrequests = 127.0.0.1:5\n")
}

func TestSettingsThatChangeMoveTheSeeds(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	write := func(text []byte) { is.NoErr(os.WriteFile(path, text, 0o600)) }
	write(settingsText("10.0.0.1:1"))
	seeds := node.NewSeeds([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7000")})
	zones := node.NewZones(nil)
	w := newWatcher(Options{Config: path}, node.Options{Seeds: seeds, Zones: zones, Log: zap.NewNop()})
	want := func(addrs ...string) {
		t.Helper()
		w.reload()
		var parsed []netip.AddrPort
		for _, a := range addrs {
			parsed = append(parsed, netip.MustParseAddrPort(a))
		}
		is.Equal(seeds.Get(), parsed)
	}
	want("10.0.0.1:7000")
	write(settingsText("10.0.0.2:1, 10.0.0.3:1"))
	want("10.0.0.2:7000", "10.0.0.3:7000")
	write([]byte("[process\n")) // a file with faults, halfway through a replacement
	want("10.0.0.2:7000", "10.0.0.3:7000")
	is.NoErr(os.Remove(path))
	want("10.0.0.2:7000", "10.0.0.3:7000")
	write(settingsText("10.0.0.4:1"))
	want("10.0.0.4:7000")
	write(settingsText("10.0.0.4:1", "sejong-a", "sejong-b"))
	want("10.0.0.4:7000")
	is.Equal(zones.Get(), []string{"sejong-a", "sejong-b"})
}
