package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/keys"
)

// maxMissing bounds the daemons named by one answer.
const maxMissing = 100

// Options configure a server. Ports that the process's roles do not have are
// nil; what needs them is answered as unavailable.
type Options struct {
	// Name is the process's name.
	Name string
	// Socket is the path of the unix socket; none where it is empty.
	Socket string
	// Remote is the TCP address for remote operators; none where it is empty.
	Remote string
	// Identity proves the process to remote operators. Remote needs it.
	Identity *keys.Identity
	Store    Store
	Spread   Spread
	Replicas Replicas
	Dumper   Dumper
	Now      func() time.Time
	Log      *zap.Logger
}

// handler serves the interface.
type handler struct {
	options Options
}

func newHandler(o Options) http.Handler {
	h := &handler{options: o}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathCommands, h.command)
	mux.HandleFunc("GET "+pathDocument, h.document)
	mux.HandleFunc("GET "+pathHistory, h.history)
	mux.HandleFunc("GET "+pathStatus, h.status)
	mux.HandleFunc("GET "+pathProgress, h.progress)
	mux.HandleFunc("GET "+pathDump, h.dump)
	mux.Handle("GET "+pathMetrics, expvar.Handler())
	mux.HandleFunc("GET "+pathReplicas, h.replicas)
	mux.HandleFunc("POST "+pathReplicas, h.addReplica)
	mux.HandleFunc("DELETE "+pathReplicas+"/{id}", h.removeReplica)
	return mux
}

// author returns who asks: the certificate's name for remote operators, else
// the name that the local one gives.
func author(r *http.Request, claimed string) string {
	if r.TLS == nil {
		return claimed
	}
	peer, err := keys.Peer(*r.TLS)
	if err != nil {
		return ""
	}
	return peer.Name
}

var statusOf = map[fleet.Outcome]int{
	fleet.OutcomeAccepted:        http.StatusOK,
	fleet.OutcomeConflict:        http.StatusConflict,
	fleet.OutcomeRequestIDReused: http.StatusConflict,
	fleet.OutcomeNotFound:        http.StatusNotFound,
	fleet.OutcomeInvalid:         http.StatusUnprocessableEntity,
}

func (h *handler) command(w http.ResponseWriter, r *http.Request) {
	var c fleet.Command
	if !h.has(w, h.options.Store != nil) || !read(w, r, &c) {
		return
	}
	c.Author = author(r, c.Author)
	c.ProposedAt = h.options.Now()
	result, err := h.propose(r.Context(), c)
	if err != nil {
		fail(w, err)
		return
	}
	h.options.Log.Info("Ran a command.",
		zap.Stringer("kind", c.Kind), zap.String("author", c.Author), zap.String("request", c.RequestID),
		zap.Stringer("outcome", result.Outcome), zap.Uint64("version", result.Version))
	write(w, statusOf[result.Outcome], result)
}

// propose runs a command. A whole document goes into the log as the patch that
// makes it of the version it expects, so that a small change of a large fleet
// stays small. A resend gives the same patch as long as that version is kept.
func (h *handler) propose(ctx context.Context, c fleet.Command) (fleet.Result, error) {
	if c.Kind != fleet.KindApply || c.Document == nil {
		return h.options.Store.Propose(ctx, c)
	}
	c.Document.Normalize()
	var expected *fleet.Document
	var kept bool
	conflict := fleet.Result{Outcome: fleet.OutcomeConflict}
	err := h.options.Store.Read(ctx, func(m *fleet.StateMachine) {
		expected, kept = m.DocumentAt(c.ExpectedVersion)
		conflict.Version, conflict.Revision = m.Version(), m.Revision()
	})
	if err != nil || !kept {
		return conflict, err
	}
	patch := fleet.Diff(expected, c.Document)
	c.Document, c.Patch = nil, &patch
	return h.options.Store.Propose(ctx, c)
}

func (h *handler) document(w http.ResponseWriter, r *http.Request) {
	var out Document
	var found bool
	version, ok := number(w, r, "version")
	if !ok || !h.has(w, h.options.Store != nil) {
		return
	}
	err := h.options.Store.Read(r.Context(), func(m *fleet.StateMachine) {
		if !r.URL.Query().Has("version") {
			version = m.Version()
		}
		out.Version, out.Revision = version, m.Revision()
		out.Document, found = m.DocumentAt(version)
	})
	switch {
	case err != nil:
		fail(w, err)
	case !found:
		problem(w, http.StatusNotFound, "version is to come or no longer kept")
	default:
		write(w, http.StatusOK, out)
	}
}

func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	if !h.has(w, h.options.Store != nil) {
		return
	}
	entries := []fleet.HistoryEntry{}
	err := h.options.Store.Read(r.Context(), func(m *fleet.StateMachine) { entries = append(entries, m.History()...) })
	if err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, entries)
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	if !h.has(w, h.options.Store != nil) {
		return
	}
	status := Status{Process: h.options.Name, Time: h.options.Now()}
	err := h.options.Store.Read(r.Context(), func(m *fleet.StateMachine) {
		status.Version, status.Revision = m.Version(), m.Revision()
		status.Services = len(m.Document().Services)
		status.Expired = m.Document().ExpiredExceptions(status.Time)
		status.Drains = m.Drains()
		status.Evacuations, status.EvacuationRevision = m.Evacuations(), m.EvacuationRevision()
	})
	if err != nil {
		fail(w, err)
		return
	}
	if h.options.Spread != nil {
		status.Progress = h.options.Spread.Progress(status.Revision, maxMissing)
		status.Members = h.options.Spread.Members()
	}
	if h.options.Replicas != nil {
		// The rest of the status is worth having without them.
		status.Replicas, _ = h.options.Replicas.Replicas(r.Context())
	}
	if h.options.Identity != nil {
		status.CertificateEnds = h.options.Identity.Info().NotAfter
	}
	write(w, http.StatusOK, status)
}

func (h *handler) progress(w http.ResponseWriter, r *http.Request) {
	revision, ok := number(w, r, "revision")
	if !ok || !h.has(w, h.options.Spread != nil) {
		return
	}
	progress := h.options.Spread.Progress(revision, maxMissing)
	if !progress.Known() {
		problem(w, http.StatusServiceUnavailable,
			"process "+strconv.Quote(h.options.Name)+" knows no daemons; the leader of the control group does, see replica list")
		return
	}
	write(w, http.StatusOK, progress)
}

func (h *handler) dump(w http.ResponseWriter, _ *http.Request) {
	if !h.has(w, h.options.Dumper != nil) {
		return
	}
	w.Header().Set("Content-Type", contentJSON)
	if err := h.options.Dumper.Write(w); err != nil {
		h.options.Log.Warn("Could not write a dump.", zap.Error(err))
	}
}

func (h *handler) replicas(w http.ResponseWriter, r *http.Request) {
	if !h.has(w, h.options.Replicas != nil) {
		return
	}
	replicas, err := h.options.Replicas.Replicas(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, replicas)
}

func (h *handler) addReplica(w http.ResponseWriter, r *http.Request) {
	var request ReplicaRequest
	if !h.has(w, h.options.Replicas != nil) || !read(w, r, &request) {
		return
	}
	if !fleet.ValidName(request.Name) || !request.Addr.IsValid() {
		problem(w, http.StatusUnprocessableEntity, "a replica needs a name and an IP address with a port")
		return
	}
	if err := h.options.Replicas.AddReplica(r.Context(), request.Name, request.Addr); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) removeReplica(w http.ResponseWriter, r *http.Request) {
	if !h.has(w, h.options.Replicas != nil) {
		return
	}
	if err := h.options.Replicas.RemoveReplica(r.Context(), r.PathValue("id")); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// has answers a request whose port the process lacks.
func (h *handler) has(w http.ResponseWriter, ok bool) bool {
	if !ok {
		problem(w, http.StatusServiceUnavailable, "process "+strconv.Quote(h.options.Name)+" does not hold the control role")
	}
	return ok
}

// read decodes the request's body, and answers where that fails. It insists on
// the JSON content type, which a browser does not send across sites unasked.
func read(w http.ResponseWriter, r *http.Request, value any) bool {
	if kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type")); kind != contentJSON {
		problem(w, http.StatusUnsupportedMediaType, "the body is not of type "+contentJSON)
		return false
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		problem(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// number returns a query parameter, 0 where it is absent.
func number(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		problem(w, http.StatusBadRequest, name+" is not a number")
		return 0, false
	}
	return n, true
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // an error is the client's loss of connection
}

func fail(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	if errorx.IsTemporary(err) || errorx.IsTimeout(err) {
		status = http.StatusServiceUnavailable
	}
	problem(w, status, err.Error())
}

func problem(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", contentProblem)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail,
	})
}
