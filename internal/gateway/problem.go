package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"fulmarmount.org/core/attempt"
)

// problem is a refusal as in RFC 9457.
type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is "not-run" or "unknown".
	Outcome string `json:"outcome"`
}

// details tell callers what the outcome means for them.
var details = map[attempt.Outcome]string{
	attempt.NotRun:  "The request did not run. It is safe to send it again.",
	attempt.Unknown: "The request may have run. Send it again with the same Idempotency-Key, or check before entering it anew.",
}

// status returns the status code of a refusal.
func status(r attempt.Result) int {
	switch r.Reason {
	case attempt.ReasonKeyInvalid:
		return http.StatusBadRequest
	case attempt.ReasonKeyReused, attempt.ReasonKeyTooOld:
		return http.StatusUnprocessableEntity
	case attempt.ReasonStillRunning:
		return http.StatusConflict
	case attempt.ReasonDeadline:
		return http.StatusGatewayTimeout
	case attempt.ReasonAgentLost, attempt.ReasonResponseDropped, attempt.ReasonTruncated:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse writes the refusal of an attempt that ended without an answer.
func refuse(w http.ResponseWriter, r attempt.Result) {
	p := problem{
		Title:   r.Reason.String(),
		Status:  status(r),
		Detail:  details[r.Outcome],
		Outcome: r.Outcome.String(),
	}
	if r.RetryAfter > 0 || p.Status == http.StatusServiceUnavailable {
		seconds := int64(max(r.RetryAfter, time.Second)+time.Second-1) / int64(time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeProblem(w, p)
}

func writeProblem(w http.ResponseWriter, p problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // a caller that has gone needs no refusal
}
