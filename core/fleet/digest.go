package fleet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// digest returns a hash of the command without its author and time. It distinguishes
// a resent command from a different command with the same request ID. It omits the
// listeners of a document: only imports change them, and the digest of an import covers
// its raw document, from which they were read.
func (c *Command) digest() uint64 {
	h := hasher{xxhash.New()}
	h.number(uint64(c.Kind))
	h.number(c.ExpectedVersion)
	h.number(c.RollbackVersion)
	h.text(c.BackendServer)
	h.text(c.Comment)
	if c.Document != nil {
		h.settings(&c.Document.Defaults)
		h.services(c.Document.Services)
		h.exceptions(c.Document.Exceptions)
	}
	if c.Patch != nil {
		h.patch(c.Patch)
	}
	if c.Import != nil {
		h.number(c.Import.Number)
		h.text(string(c.Import.RawDocument))
	}
	if c.Registrations != nil {
		h.addrs(c.Registrations.Added)
		h.addrs(c.Registrations.Removed)
	}
	if c.Zone != "" {
		h.texts([]string{c.Zone, c.Reason})
		h.number(c.ExpectedRevision)
	}
	return h.Sum64()
}

// hasher hashes values with length prefixes, so that different sequences of values
// never produce the same input bytes.
type hasher struct{ *xxhash.Digest }

func (h hasher) number(n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	_, _ = h.Write(b[:])
}

func (h hasher) text(s string) {
	h.number(uint64(len(s)))
	_, _ = h.WriteString(s)
}

func (h hasher) texts(list []string) {
	h.number(uint64(len(list)))
	for _, s := range list {
		h.text(s)
	}
}

func (h hasher) addrs(list []netip.AddrPort) {
	h.number(uint64(len(list)))
	for _, addr := range list {
		h.text(addr.String())
	}
}

func (h hasher) patch(p *Patch) {
	if p.Defaults != nil {
		h.settings(p.Defaults)
	}
	h.services(p.PutServices)
	h.exceptions(p.PutExceptions)
	h.texts(p.DeleteServices)
	h.texts(p.DeleteExceptions)
}

func (h hasher) settings(s *Settings) {
	for i := range settingSpecs {
		h.number(uint64(settingSpecs[i].load(s)))
	}
}

func (h hasher) services(list []Service) {
	h.number(uint64(len(list)))
	for i := range list {
		h.service(&list[i])
	}
}

func (h hasher) service(s *Service) {
	h.text(s.Name)
	h.text(string(s.Mode))
	h.number(uint64(s.Share))
	h.addrs(s.Addresses)
	h.number(uint64(len(s.Classes)))
	for _, c := range s.Classes {
		h.text(c.Name)
		h.number(uint64(c.MostUrgent)<<8 | uint64(c.LeastUrgent))
		h.number(uint64(c.Share))
	}
	h.number(uint64(len(s.RepeatableRoutes)))
	for _, route := range s.RepeatableRoutes {
		h.text(route.Method)
		h.text(route.Prefix)
	}
}

func (h hasher) exceptions(list []Exception) {
	h.number(uint64(len(list)))
	for i := range list {
		e := &list[i]
		h.texts([]string{e.Name, string(e.Scope), e.Target, string(e.Key), e.Value, e.Reason})
		h.number(uint64(e.ExpiresAt.Unix()))
	}
}
