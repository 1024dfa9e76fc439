package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/fulmarmount/internal/finding"
)

const whole = `# One VM with every role.
[process]
name = vm-1
zone = daejeon-a
data_dir = data
roles = control, balancer, agent
log_level = debug
stop_timeout = 1m

[tls]
ca = keys/ca.pem
cert = keys/vm-1.pem
key = /keys/vm-1.key
packet_keys = keys/packets.json

[admin]
socket = admin.sock
remote = 127.0.0.1:7443

[control]
listen = 127.0.0.1:7000
cluster = registry
peers = vm-1=127.0.0.1:7000, vm-2=127.0.0.2:7000

[balancer]
packets = 127.0.0.1:7001
bind = wildcard
mtu = 9000

[agent.order-desk]
id = order-desk-1
backend = 127.0.0.1:8080
packets = 127.0.0.1:7002
requests = 127.0.0.1:7003
idle_timeout = 24h
`

func TestParseWholeFile(t *testing.T) {
	is := is.New(t)
	p, err := Parse("/etc/fulmarmount/fulmard.ini", []byte(whole))
	is.NoErr(err)
	addr := netip.MustParseAddrPort
	is.Equal(p, &Process{
		Name: "vm-1", Zone: "daejeon-a", DataDir: "/etc/fulmarmount/data",
		Roles: []Role{RoleControl, RoleBalancer, RoleAgent}, LogLevel: "debug", StopTimeout: time.Minute,
		TLS: TLS{
			CA: "/etc/fulmarmount/keys/ca.pem", Cert: "/etc/fulmarmount/keys/vm-1.pem",
			Key: "/keys/vm-1.key", PacketKeys: "/etc/fulmarmount/keys/packets.json",
		},
		Admin: Admin{Socket: "/etc/fulmarmount/admin.sock", Remote: addr("127.0.0.1:7443")},
		Control: Control{Listen: addr("127.0.0.1:7000"), Cluster: "registry", Peers: []Peer{
			{"vm-1", addr("127.0.0.1:7000")}, {"vm-2", addr("127.0.0.2:7000")},
		}},
		Balancer: Balancer{Packets: addr("127.0.0.1:7001"), Bind: BindWildcard, MTU: 9000, ReceiveBuffer: 4 << 20},
		Agents: []Agent{{
			Service: "order-desk", ID: "order-desk-1", Backend: addr("127.0.0.1:8080"),
			Packets: addr("127.0.0.1:7002"), Requests: addr("127.0.0.1:7003"), MTU: DefaultMTU, Slots: 4, IdleTimeout: 24 * time.Hour,
		}},
	})
}

func TestEveryFaultIsReportedWithItsPlace(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "bad.ini")
	is.NoErr(os.WriteFile(path, []byte(`stray = 1
[process]
name = VM_1
zone = daejeon-a
roles = agent, pilot, agent
roles = agent
colour = red
log_level = loud
stop_timeout = 9999h
not a pair
[process]
zone = twice
[tls]
ca = ca.pem
cert =
[balancer]
packets = nowhere
mtu = 12
rcvbuf = lots
[admin
[extra]
a = b
[agent.order-desk]
id = od-1
backend = 127.0.0.1:80
packets = 127.0.0.1:7002
requests = 127.0.0.1:7002
slots = 0
idle_timeout = soon
`), 0o600))
	_, err := Load(path, "")
	lines := []string{
		":0 [join] control", ":1 [] stray", ":3 [process] name", ":5 [process] roles", ":5 [process] roles",
		":6 [process] roles", ":7 [process] colour", ":8 [process] log_level", ":9 [process] stop_timeout",
		":10 [process] ", ":11 [process] ", ":14 [tls] ca", ":13 [tls] key", ":13 [tls] packet_keys",
		":15 [tls] cert", ":16 [balancer] ", ":17 [balancer] packets", ":18 [balancer] mtu", ":19 [balancer] rcvbuf",
		":20 [] ", ":21 [extra] ", ":27 [agent.order-desk] requests", ":28 [agent.order-desk] slots",
		":29 [agent.order-desk] idle_timeout",
	}
	is.Equal(places(err), sorted(lines))
	for _, f := range finding.Of(err) {
		is.True(f.Message != "")
		is.Equal(f.File, path)
	}
}

func TestFindings(t *testing.T) {
	tests := []struct{ name, old, replacement, want string }{
		{"replica without its own name", "vm-1=127.0.0.1:7000, ", "", "is not among the peers"},
		{"replicas with one address", "127.0.0.2:7000", "127.0.0.1:7000", "duplicate address"},
		{"control without data", "data_dir = data\n", "", "needs a data folder"},
		{"section without role", "roles = control, balancer, agent", "roles = control, agent", "does not hold role"},
		{"role without section", "[agent.order-desk]", "[agent]", "needs a section [agent.SERVICE]"},
		{"one socket twice", "127.0.0.1:7001", "127.0.0.1:7000", "duplicate address 127.0.0.1:7000"},
		{"address zone", "127.0.0.1:7001", "[fe80::1%eth0]:7001", "not an IP address"},
		{"quoted value", "daejeon-a", "`daejeon-a", "not supported"},
		{"word for a number", "[balancer]", "[adapter]\nwarmup_factor = much\n[balancer]", "not a number from 0"},
		{"negative number", "[balancer]", "[adapter]\nwarmup_extra = -1\n[balancer]", "not a number from 0"},
		{"word that is no choice", "[balancer]", "[adapter]\nwarmup_zero = maybe\n[balancer]", "unlimited"},
		{"long socket", "admin.sock", strings.Repeat("a", 120), "longer than"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("f.ini", []byte(strings.Replace(whole, tt.old, tt.replacement, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

func TestProcessWithPeersNeedsKeys(t *testing.T) {
	is := is.New(t)
	start, end := strings.Index(whole, "[tls]"), strings.Index(whole, "[admin]")
	_, err := Parse("f.ini", []byte(whole[:start]+whole[end:]))
	is.Equal(places(err), []string{":12 [admin] remote"})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(whole))
	f.Add([]byte("[process\n=\n[a]\n-=\"\"\"\n`=`"))
	f.Add([]byte("\xEF\xBB\xBF[process]\r\nname = x\\\r\n  y"))
	f.Fuzz(func(t *testing.T, data []byte) {
		process, err := Parse("f.ini", data)
		if (process == nil) != (err != nil) {
			t.Fatalf("settings %v with error %v", process, err)
		}
		if err != nil && len(finding.Of(err)) == 0 {
			t.Fatalf("error without findings: %v", err)
		}
	})
}

func places(err error) []string {
	var list []string
	for _, f := range finding.Of(err) {
		list = append(list, place(f))
	}
	return sorted(list)
}

func place(f finding.Finding) string {
	return fmt.Sprintf(":%d [%s] %s", f.Line, f.Section, f.Key)
}

func sorted(list []string) []string {
	slices.Sort(list)
	return list
}
