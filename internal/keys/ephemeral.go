package keys

import "time"

// Set is identities of one authority with a packet key ring, in memory.
type Set struct {
	Ring *Ring

	authority *Authority
	ca        []byte
}

// Ephemeral makes a new authority and ring that are in no file, for processes
// that talk to no other one, and for tests.
func Ephemeral(now time.Time) (*Set, error) {
	authority, err := newAuthority(now)
	if err != nil {
		return nil, err
	}
	ring := NewRing()
	if err := ring.rotate(now, 0); err != nil {
		return nil, err
	}
	return &Set{Ring: ring, authority: authority, ca: encodeCert(authority.cert.Raw)}, nil
}

// Identity issues an identity for the VM name. Without roles it allows all.
func (s *Set) Identity(name string, now time.Time, roles ...Role) (*Identity, error) {
	if len(roles) == 0 {
		roles = Roles()
	}
	issued, err := s.authority.issue(name, roles, now, DefaultValidity)
	if err != nil {
		return nil, err
	}
	loaded, err := newMaterial(s.ca, *issued)
	if err != nil {
		return nil, err
	}
	id := &Identity{}
	id.current.Store(loaded)
	return id, nil
}
