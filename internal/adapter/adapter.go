// Package adapter holds the ports to the platform that a fleet runs on. An
// adapter translates the platform's protocols; decisions, state and recovery
// stay with the roles.
package adapter

import (
	"context"
	"net/netip"

	"go.uber.org/zap"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/segment"
)

// Platform speaks the protocols of one platform.
type Platform interface {
	// Codec reads and writes the headers of its packets.
	Codec() segment.Codec
	// Start serves its HTTP interfaces.
	Start(Options) (Server, error)
}

// Server is a running adapter.
type Server interface {
	// Stop ends it once the calls in progress are answered, or ctx ends.
	Stop(ctx context.Context) error
}

// Options are what an adapter serves for one process.
type Options struct {
	// Readiness and Operators are the addresses to serve at; zero for none.
	Readiness, Operators netip.AddrPort
	// Ready reports whether callers may be sent to the process.
	Ready func() bool
	// WarmupOvershoot and WarmupSlack are the factor and the addition by which what a cold
	// backend server bears limits its new flows; nil where nothing limits them.
	WarmupOvershoot, WarmupSlack *float64
	// WarmupZeroIsUnlimited is set if a cold backend server said to bear 0 requests a
	// second has no limit.
	WarmupZeroIsUnlimited bool
	// Backend takes what the backend server says; nil without the agent role.
	Backend Backend
	// Imports holds the configuration; nil without the control role.
	Imports Imports
	// Evacuations holds the evacuated availability zones; nil without the control
	// role.
	Evacuations Evacuations
	// Zones returns the availability zones that exist; none if any name is one.
	// It is set where Evacuations is.
	Zones func() []string
	Log   *zap.Logger
}

// Backend takes what a backend server says of itself.
type Backend interface {
	// HandleReport applies a report. Errors are of type segment.ErrInvalidReport and
	// segment.ErrStaleReport.
	HandleReport(segment.BackendReport) error
	// Deregister marks a backend server as deregistered.
	Deregister(id string)
}

// Imports is the configuration that the platform's operators number.
type Imports interface {
	// Import puts a document in force unless one of the same or a higher number
	// is. An error leaves it unknown whether it was.
	Import(ctx context.Context, i fleet.Import, d *fleet.Document) (fleet.Result, error)
	// Imported returns the import in force. An error says that no majority has
	// confirmed which one is the newest.
	Imported(ctx context.Context) (fleet.Import, error)
}

// Evacuations are the availability zones whose backend servers get no new flows. An
// error leaves it unknown whether a call has taken effect.
type Evacuations interface {
	// Evacuate evacuates a zone. If it is evacuated already, nothing changes.
	Evacuate(ctx context.Context, zone, reason string) (fleet.Result, error)
	// EndEvacuation ends the evacuation of a zone. If it is not evacuated, nothing
	// changes.
	EndEvacuation(ctx context.Context, zone string) (fleet.Result, error)
}
