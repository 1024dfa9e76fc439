package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/fleet"
)

// seatTimeout bounds one change of seats.
const seatTimeout = 2 * time.Second

// changeSeats has the durable state note agents that are new or have left. The
// caller holds the lock.
func (c *term) changeSeats() {
	if c.seating || c.options.Fleet == nil {
		return
	}
	change := fleet.RegistrationChange{Added: c.registry.UnregisteredAgents(), Removed: c.registry.StaleRegistrations(c.elapsed())}
	if len(change.Added)+len(change.Removed) == 0 {
		return
	}
	c.seating = true
	go c.replicateSeats(change)
}

func (c *term) replicateSeats(change fleet.RegistrationChange) {
	ctx, cancel := context.WithTimeout(c.ctx, seatTimeout)
	defer cancel()
	problems, err := c.options.Fleet.UpdateRegisteredAgents(ctx, change)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seating = false
	if err != nil {
		c.options.Log.Warn("Could not note which agents there are.", zap.Error(err),
			zap.Stringers("taken", change.Added), zap.Stringers("left", change.Removed))
		return
	}
	if len(problems) > 0 {
		c.options.Log.Error("Could not note some agents; their backend servers get no new flows.", zap.Stringers("problems", problems))
	}
	c.options.Log.Info("Noted which agents there are.",
		zap.Stringers("taken", change.Added), zap.Stringers("left", change.Removed))
	c.options.Fleet.Peek(func(m *fleet.StateMachine) { c.registry.SetRegisteredAgents(m.RegisteredAgents()) })
}
