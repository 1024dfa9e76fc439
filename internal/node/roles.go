package node

import (
	"crypto/tls"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/keys"
	"fulmarmount.org/fulmarmount/internal/peer"
	"fulmarmount.org/fulmarmount/internal/role/agent"
	"fulmarmount.org/fulmarmount/internal/role/balancer"
	"fulmarmount.org/fulmarmount/internal/role/control"
	"fulmarmount.org/fulmarmount/internal/settings"
)

// ring gives the packet codec the keys that are in use at the clock's time.
type ring struct {
	*keys.Ring
	now func() time.Time
}

// Active implements packet.KeyRing. The wire carries the lowest byte of the key's
// ID: a ring holds far fewer keys than that tells apart.
func (r ring) Active() (id uint8, secret []byte) {
	k, ok := r.Ring.Active(r.now())
	if !ok {
		return 0, nil
	}
	return uint8(k.ID), k.Secret[:]
}

// Secret implements packet.KeyRing.
func (r ring) Secret(id uint8) ([]byte, bool) {
	for _, k := range r.Keys() {
		if uint8(k.ID) == id {
			return k.Secret[:], true
		}
	}
	return nil, false
}

// clientTLS returns the settings of connections to processes with one of roles.
func (o Options) clientTLS(roles ...keys.Role) func() *tls.Config {
	return func() *tls.Config { return o.Identity.ClientTLSFor("", roles, peer.Protocol) }
}

func startControl(o Options) (role, error) {
	options := control.Options{
		Listen:  o.Settings.Control.Listen,
		TLS:     o.Identity.ServerTLSFor([]keys.Role{keys.Balancer, keys.Agent, keys.Control}, peer.Protocol),
		Epoch:   uint64(o.Now().Unix()),
		Silence: o.Settings.Join.Silence,
		Collect: o.Settings.Control.Collect,
		Now:     o.Now,
		Log:     o.Log.Named("control"),
	}
	if o.Store != nil {
		options.Fleet = o.Store
	}
	if o.Initial != nil {
		if err := putInForce(o); err != nil {
			return nil, err
		}
	}
	if o.Group == nil {
		return control.Start(options)
	}
	options.Group, options.Pool = o.Group, o.pool
	c, err := control.Start(options)
	if err != nil {
		return nil, err
	}
	return replicatedControl{Control: c, options: o}, nil
}

func startBalancer(o Options) (role, error) {
	s := o.Settings.Balancer
	inherited, rest := o.Inherited.Split(balancer.HandoverRole, o.Settings.Name)
	if len(rest) > 0 {
		o.Log.Named("balancer").Warn("The predecessor had another name or role. Its items are closed.", zap.Int("items", len(rest)))
		rest.Close()
	}
	return balancer.Start(balancer.Options{
		Name:           o.Settings.Name,
		Zone:           o.Settings.Zone,
		Control:        o.Settings.Join.Control,
		Packets:        s.Packets,
		Spray:          o.Spray,
		Wildcard:       s.Bind == settings.BindWildcard,
		InheritedItems: inherited,
		MTU:            s.MTU,
		ReadBuffer:     s.ReceiveBuffer,
		TLS:            o.clientTLS(keys.Control, keys.Agent),
		Keys:           ring{Ring: o.Ring, now: o.Now},
		Session:        rand.Uint64(),
		Now:            o.Now,
		Log:            o.Log.Named("balancer"),
	})
}

// handoverFile returns where an agent leaves its flows; empty for nowhere.
func (o Options) handoverFile(s settings.Agent) string {
	if o.Settings.Handover == "" {
		return ""
	}
	return o.Settings.Handover + "." + s.ID
}

func startAgent(o Options, s settings.Agent) (role, error) {
	return agent.Start(agent.Options{
		ID:           s.ID,
		Service:      s.Service,
		Zone:         o.Settings.Zone,
		Incarnation:  view.Incarnation(o.Now().UnixNano()),
		Backend:      s.Backend,
		Packets:      s.Packets,
		Requests:     s.Requests,
		Slots:        uint16(s.Slots),
		IdleTimeout:  s.IdleTimeout,
		HandoverPath: o.handoverFile(s),
		MTU:          s.MTU,
		Control:      o.Settings.Join.Control,
		ServerTLS:    o.Identity.ServerTLSFor([]keys.Role{keys.Balancer, keys.Agent}, peer.Protocol),
		ClientTLS:    o.clientTLS(keys.Control, keys.Agent),
		Keys:         ring{Ring: o.Ring, now: o.Now},
		Session:      rand.Uint64(),
		Now:          o.Now,
		Log:          o.Log.Named("agent"),
	})
}
