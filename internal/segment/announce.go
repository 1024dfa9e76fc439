package segment

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/core/routing"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/announce"
	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/subscribe"
)

// announcementBits is the number of low bits of an announcement's sequence number
// that count the announcements of one report.
const announcementBits = 24

// minRenumberReports is the number of reports of a start after which it may be announced
// as later than one that control knows. A single report may be a late one.
const minRenumberReports = 2

const (
	// maxReportSequence is the greatest sequence number of a report that fits beside the
	// low bits.
	maxReportSequence = 1<<(64-announcementBits) - 1
	// maxClockLead is how far ahead of this process's clock a backend server's start may
	// lie. It allows for clocks that differ and jump.
	maxClockLead = time.Hour
)

// checkReport rejects a report that cannot come from the backend server beside this
// agent. If one with an impossible start or sequence number were applied, each report of
// the real backend server would be older than it. The caller holds the lock.
func (a *Agent) checkReport(r *BackendReport) error {
	isOtherService := a.options.Service != "" && r.Service != a.options.Service
	switch {
	case isOtherService:
		return ErrInvalidReport.New("%q is of service %q, not of %q beside this agent", r.ID, r.Service, a.options.Service)
	case r.Address != a.options.BackendAddr:
		return ErrInvalidReport.New("backend server %q is at %s, not beside this agent at %s", r.ID, r.Address, a.options.BackendAddr)
	case r.Incarnation == 0:
		return ErrInvalidReport.New("report %d of %q is of run 0", r.Sequence, r.ID)
	case r.Sequence > maxReportSequence:
		return ErrInvalidReport.New("report %d of %q is above %d", r.Sequence, r.ID, uint64(maxReportSequence))
	case r.StartedAt.Sub(a.options.Now()) > maxClockLead:
		return ErrInvalidReport.New("start of %q at %s lies in the future", r.ID, r.StartedAt)
	case r.Incarnation == a.report.Incarnation && r.Service != a.report.Service:
		return ErrInvalidReport.New("run %d of %q serves %q, not %q", r.Incarnation, r.ID, a.report.Service, r.Service)
	}
	return nil
}

// HandleReport applies a report of the backend server. It returns an error of type
// ErrInvalidReport if the report cannot be from the backend server beside this agent,
// and one of type ErrStaleReport if the report is older than the latest one, or of a
// start of the backend server that has deregistered.
func (a *Agent) HandleReport(r BackendReport) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkReport(&r); err != nil {
		return err
	}
	previous := a.report
	order := a.starts.classify(a.elapsed(), r.Incarnation, r.Sequence)
	switch {
	case order == ofEarlierStart:
		return ErrStaleReport.New("run %d of %q is not known to be newer than run %d of %q", r.Incarnation, r.ID, previous.Incarnation, previous.ID)
	case a.isOfLeftStart(&r):
		return ErrStaleReport.New("report %d of %q is of a start that has left", r.Sequence, r.ID)
	case r.Incarnation == previous.Incarnation && r.Sequence < previous.Sequence:
		return ErrStaleReport.New("report %d of %q is older than report %d", r.Sequence, r.ID, previous.Sequence)
	}
	if order != ofCurrentStart {
		a.startIncarnation(r, order)
	}
	a.starts.accept(a.elapsed(), r.Incarnation)
	a.startReports++
	state := routing.BackendServing
	if r.Draining {
		state = routing.BackendDraining
	}
	hasChanged := r.Incarnation != previous.Incarnation || r.Draining != previous.Draining || r.Slots != previous.Slots ||
		a.hasLeft || a.mayHaveLeft
	a.hasLeft, a.mayHaveLeft = false, false
	a.report, a.announcementCount = r, 0
	a.steer.SetWarmup(a.elapsed(), r.WarmupRemaining) // before the agent accepts flows
	a.steer.SetState(state)
	a.steer.SetSlots(int(r.Slots))
	a.reports.Add(1)
	a.phases.End(phaseBackendReported)
	if hasChanged {
		a.options.Log.Info("Backend server's state changed.", zap.String("id", r.ID), zap.String("service", r.Service),
			zap.Uint64("run", r.Incarnation), zap.Stringer("standing", state), zap.Duration("warming", r.WarmupRemaining))
		a.requestAnnouncement()
	}
	return nil
}

// startIncarnation starts a new incarnation of the backend server. The caller holds
// the lock.
func (a *Agent) startIncarnation(r BackendReport, order reportOrder) {
	earliest := a.earliestStart(&r)
	if order == ofReturnedStart {
		earliest = routing.StartUnknown
	}
	a.run, a.startReports = max(view.Incarnation(r.Incarnation), a.run+1), 0
	a.steer.StartIncarnation(a.run, earliest)
	a.options.Log.Info("Backend server has started.", zap.String("id", r.ID), zap.Uint64("run", r.Incarnation),
		zap.Uint64("announced_run", uint64(a.run)), zap.Bool("clock_stepped", order == ofReturnedStart),
		zap.Duration("after_process", earliest), zap.Stringer("past_use", a.steer.PastUse()))
	a.isAnnounced = false
	if r.Service != a.serviceName {
		a.options.Log.Info("Backend server reported its service; subscribing to it.", zap.String("service", r.Service), zap.String("before", a.serviceName))
		a.serviceName, a.service = r.Service, 0
		a.envelopeService.Store(0)
		a.steer.ClearService()
		a.subscribe(r.Service)
	}
}

// subscribe subscribes to a service's configuration and cancels the previous
// subscription.
func (a *Agent) subscribe(service string) {
	if a.unsubscribe != nil {
		a.unsubscribe()
	}
	ctx, cancel := context.WithCancel(a.ctx)
	a.unsubscribe = cancel
	isFirst := true
	applyUpdate := func(u proto.Update) {
		if isFirst && u.Zones == nil {
			u.Zones = &proto.Zones{} // an earlier subscription may have named some
		}
		isFirst = false
		if ctx.Err() == nil {
			a.applyUpdate(u)
		}
	}
	a.tasks.Go(func() {
		subscribe.Run(ctx, subscribe.Options{
			Name: a.options.Name, Keys: []string{proto.ServiceKey(service), proto.ZonesKey}, Control: a.options.ControlAddrs,
			Retry: a.options.Retry, Pool: a.pool, Adopt: applyUpdate, Now: a.options.Now, Log: a.options.Log,
		})
	})
}

// runAnnouncements renews the lease until ctx is done.
func (a *Agent) runAnnouncements(ctx context.Context) {
	announce.Run(ctx, announce.Options{
		Name: a.options.Name, Control: a.options.ControlAddrs, Pool: a.pool, Retry: a.options.Retry,
		Next: a.nextAnnouncement, Answered: a.handleAnnounceReply, Changed: a.announceNow, Log: a.options.Log,
	})
}

// handleAnnounceReply records that control has accepted an announcement, so that views
// may list the incarnation.
func (a *Agent) handleAnnounceReply(announcement view.Announcement, reply proto.AnnounceReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case announcement.Incarnation != a.run:
	case reply.Accepted:
		a.isAnnounced = true
		a.phases.End(phaseAnnounced)
	case reply.KnownIncarnation > a.run && a.startReports >= minRenumberReports:
		a.renumber(reply.KnownIncarnation + 1)
	}
}

// renumber announces the present start as a later incarnation. Control knows one at this
// agent's address that an earlier process has announced, and that tells a later time than the
// backend server's clock did at its present start. The caller holds the lock.
func (a *Agent) renumber(run view.Incarnation) {
	a.options.Log.Info("Control knows a later run. Announcing the backend server as a newer one.",
		zap.Uint64("run", a.report.Incarnation), zap.Uint64("announced_run", uint64(run)))
	a.run = run
	a.steer.Renumber(run)
	a.requestAnnouncement()
}

// nextAnnouncement returns the next announcement to control, or false before the
// backend server's first report. The report's sequence number forms the high bits
// of the announcement's, so that it increases across restarts of the agent.
func (a *Agent) nextAnnouncement() (view.Announcement, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.report.Incarnation == 0 {
		return view.Announcement{}, false
	}
	a.announcementCount++
	load := a.steer.Load()
	pastUse := a.steer.PastUse()
	if a.isAnnounced {
		pastUse = routing.UsePossible
	}
	isDown := a.steer.IsDown()
	return view.Announcement{
		Service: a.report.Service, ID: a.report.ID, Zone: a.options.Zone,
		Incarnation: a.run, Packets: a.conn.Addr(), Requests: a.conn.Addr(),
		Slots: a.report.Slots, Draining: a.report.Draining || a.mayHaveLeft || isDown, Healthy: !isDown && !a.fitness.isAnnouncedUnfit,
		Sequence: a.report.Sequence<<announcementBits + a.announcementCount, Load: load.RunningRequests, Flows: load.Flows, BackendTracksFlows: true, BackendDown: isDown,
		Unlisted: pastUse == routing.UseNone, StartedWithAgent: pastUse == routing.UseBeforeProcess, AnswersQueries: a.steer.AnswersQueries(),
	}, true
}
