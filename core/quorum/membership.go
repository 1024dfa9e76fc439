package quorum

import (
	"cmp"
	"fmt"
	"slices"
)

// Member is one replica of a cluster.
type Member struct {
	ID ReplicaID `cbor:"1,keyasint"`
	// Name is the operators' name of the VM.
	Name string `cbor:"2,keyasint,omitempty"`
	// Address is opaque to this package; transports dial it.
	Address string `cbor:"3,keyasint,omitempty"`
	// IsLearner receives the log but is in no quorum (thesis, 4.2.1).
	IsLearner bool `cbor:"4,keyasint,omitempty"`
}

// Membership is the replicas of a cluster, sorted by ID.
type Membership struct {
	Members []Member `cbor:"1,keyasint"`
}

// NewMembership returns a membership of members.
func NewMembership(members ...Member) Membership {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return Membership{Members: sorted}
}

// Find returns the member with the given ID.
func (m Membership) Find(id ReplicaID) (Member, bool) {
	i := m.search(id)
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// IsVoter reports whether id counts in quorums.
func (m Membership) IsVoter(id ReplicaID) bool {
	member, ok := m.Find(id)
	return ok && !member.IsLearner
}

// VoterCount returns the number of members that count in quorums.
func (m Membership) VoterCount() int {
	n := 0
	for i := range m.Members {
		if !m.Members[i].IsLearner {
			n++
		}
	}
	return n
}

// QuorumSize returns the smallest majority of the voters.
func (m Membership) QuorumSize() int { return m.VoterCount()/2 + 1 }

func (m Membership) search(id ReplicaID) int {
	return slices.IndexFunc(m.Members, func(o Member) bool { return o.ID == id })
}

// hasQuorum reports whether the voters that agree are a majority.
func (m Membership) hasQuorum(agrees func(ReplicaID) bool) bool {
	n := 0
	for i := range m.Members {
		if !m.Members[i].IsLearner && agrees(m.Members[i].ID) {
			n++
		}
	}
	return n >= m.QuorumSize()
}

// quorumIndex returns the greatest value that a majority of voters reached.
func (m Membership) quorumIndex(reached func(ReplicaID) uint64) uint64 {
	var values []uint64
	for i := range m.Members {
		if !m.Members[i].IsLearner {
			values = append(values, reached(m.Members[i].ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-m.QuorumSize()]
}

// Bootstrap returns the state to save on the first replicas of a new cluster.
// The snapshot stands for entry 1, so that replicas added later receive the
// first membership with it.
func Bootstrap(cluster ClusterID, members ...Member) (HardState, Snapshot) {
	const first = 1
	hard := HardState{Cluster: cluster, Term: first, Commit: first}
	return hard, Snapshot{Index: first, Term: first, Membership: NewMembership(members...)}
}

// ChangeOp is the kind of a membership change.
type ChangeOp uint8

// The membership changes. Each adds or removes at most one voter, so that any
// majority before overlaps any majority after (thesis, 4.1).
const (
	AddLearner     ChangeOp = iota + 1 // a new replica that only receives
	PromoteLearner                     // a caught-up learner becomes a voter
	RemoveMember                       // a learner or voter leaves for good
)

var changeNames = [...]string{"", "add_learner", "promote", "remove"}

// String returns the operation's lower-case name.
func (op ChangeOp) String() string {
	if op > 0 && int(op) < len(changeNames) {
		return changeNames[op]
	}
	return fmt.Sprintf("change(%d)", uint8(op))
}

// ConfChange is one membership change. Promote and RemoveMember use the ID only.
type ConfChange struct {
	Op     ChangeOp `cbor:"1,keyasint"`
	Member Member   `cbor:"2,keyasint"`
}

// Apply returns the membership after c, or an InvalidChange error.
func (m Membership) Apply(c ConfChange) (Membership, error) {
	i := m.search(c.Member.ID)
	switch c.Op {
	case AddLearner:
		return m.add(i, c.Member)
	case PromoteLearner:
		return m.promote(i, c.Member.ID)
	case RemoveMember:
		return m.remove(i, c.Member.ID)
	default:
		return m, ErrInvalidChange.New("membership change %s does not exist", c.Op)
	}
}

func (m Membership) add(i int, member Member) (Membership, error) {
	if i >= 0 {
		return m, ErrInvalidChange.New("replica %s is a member already", member.ID)
	}
	if member.ID == 0 {
		return m, ErrInvalidChange.New("replica ID is zero")
	}
	member.IsLearner = true
	return NewMembership(append(slices.Clone(m.Members), member)...), nil
}

func (m Membership) promote(i int, id ReplicaID) (Membership, error) {
	if i < 0 || !m.Members[i].IsLearner {
		return m, ErrInvalidChange.New("replica %s is no learner", id)
	}
	members := slices.Clone(m.Members)
	members[i].IsLearner = false
	return Membership{Members: members}, nil
}

func (m Membership) remove(i int, id ReplicaID) (Membership, error) {
	if i < 0 {
		return m, ErrInvalidChange.New("replica %s is no member", id)
	}
	if !m.Members[i].IsLearner && m.VoterCount() == 1 {
		return m, ErrInvalidChange.New("replica %s is the last voter", id)
	}
	return Membership{Members: slices.Delete(slices.Clone(m.Members), i, i+1)}, nil
}
