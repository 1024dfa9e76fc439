package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("fleet")

// ErrInvalidValue is the type for values that do not fit their key.
var ErrInvalidValue = namespace.NewType("value").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// SettingKey names one setting.
type SettingKey string

// Settings are the fleet-wide defaults, or what is in force for one target.
type Settings struct {
	// Deadline ends a request whose caller names no deadline.
	Deadline time.Duration `cbor:"1,keyasint" json:"deadline"`
	// QueueTime is the longest that a request waits for a slot.
	QueueTime time.Duration `cbor:"2,keyasint" json:"queue_time"`
	// IdleTimeout ends a flow without packets.
	IdleTimeout time.Duration `cbor:"3,keyasint" json:"idle_timeout"`
	// WarmupDuration is how long the weight of a new backend server ramps up.
	WarmupDuration time.Duration `cbor:"4,keyasint" json:"warming"`
	// DrainLimit ends the flows that a draining backend server still holds.
	DrainLimit time.Duration `cbor:"5,keyasint" json:"drain_limit"`
	// LeaseDuration is how long an announcement holds without renewal.
	LeaseDuration time.Duration `cbor:"6,keyasint" json:"lease"`
	// Weight is the share of new flows, relative to view.FullWeight.
	Weight uint32 `cbor:"7,keyasint" json:"weight"`
	// RetryBudgetPercent is the most load that retries may add, in percent.
	RetryBudgetPercent uint32 `cbor:"8,keyasint" json:"retry_budget"`
	// MaxEjectedPercent is the largest part of a service's backend servers that
	// health may take out at once, in percent.
	MaxEjectedPercent uint32 `cbor:"9,keyasint" json:"max_ejected"`
}

// DefaultSettings returns the settings of a fleet whose operators set none.
func DefaultSettings() Settings {
	return Settings{
		Deadline:           10 * time.Second,
		QueueTime:          500 * time.Millisecond,
		IdleTimeout:        24 * time.Hour,
		WarmupDuration:     20 * time.Second,
		DrainLimit:         24 * time.Hour,
		LeaseDuration:      3 * time.Second,
		Weight:             100,
		RetryBudgetPercent: 10,
		MaxEjectedPercent:  50,
	}
}

// unit is how a value is written.
type unit uint8

const (
	unitDuration unit = iota
	unitCount
	unitPercent
)

// tunable describes one key of Settings. low and high are in the unit of the
// field: nanoseconds, a count or percent.
type tunable struct {
	key       SettingKey
	unit      unit
	low, high int64
	// scopes are what exceptions may set the key for; none where the key is
	// for the whole fleet.
	scopes   []Scope
	duration func(*Settings) *time.Duration
	number   func(*Settings) *uint32
}

var (
	// anyScope is in the order in which exceptions are applied.
	anyScope     = []Scope{ScopeZone, ScopeService, ScopeBackendServer}
	serviceScope = []Scope{ScopeService}
)

const day = 24 * time.Hour

var tunables = []tunable{
	{
		key: "deadline", low: int64(10 * time.Millisecond), high: int64(time.Hour), scopes: serviceScope,
		duration: func(s *Settings) *time.Duration { return &s.Deadline },
	},
	{
		key: "queue_time", low: 0, high: int64(time.Minute), scopes: serviceScope,
		duration: func(s *Settings) *time.Duration { return &s.QueueTime },
	},
	{
		key: "idle_timeout", low: int64(time.Second), high: int64(7 * day), scopes: serviceScope,
		duration: func(s *Settings) *time.Duration { return &s.IdleTimeout },
	},
	{
		key: "warming", low: int64(time.Second), high: int64(day),
		duration: func(s *Settings) *time.Duration { return &s.WarmupDuration },
	},
	{
		key: "drain_limit", low: int64(time.Second), high: int64(30 * day), scopes: serviceScope,
		duration: func(s *Settings) *time.Duration { return &s.DrainLimit },
	},
	{
		key: "lease", low: int64(2 * time.Second), high: int64(5 * time.Minute),
		duration: func(s *Settings) *time.Duration { return &s.LeaseDuration },
	},
	{
		key: "weight", unit: unitCount, low: 0, high: 10_000, scopes: anyScope,
		number: func(s *Settings) *uint32 { return &s.Weight },
	},
	{
		key: "retry_budget", unit: unitPercent, low: 0, high: 100, scopes: serviceScope,
		number: func(s *Settings) *uint32 { return &s.RetryBudgetPercent },
	},
	{
		key: "max_ejected", unit: unitPercent, low: 1, high: 100,
		number: func(s *Settings) *uint32 { return &s.MaxEjectedPercent },
	},
}

// SettingKeys lists every key in a fixed order.
func SettingKeys() []SettingKey {
	keys := make([]SettingKey, len(tunables))
	for i := range tunables {
		keys[i] = tunables[i].key
	}
	return keys
}

func findTunable(key SettingKey) *tunable {
	i := slices.IndexFunc(tunables, func(t tunable) bool { return t.key == key })
	if i < 0 {
		return nil
	}
	return &tunables[i]
}

// Set parses value and sets key to it. Durations are written as 250ms, 30s or
// 24h, percentages as 10%. On an error s stays as it was.
func (s *Settings) Set(key SettingKey, value string) error {
	t := findTunable(key)
	if t == nil {
		return ErrInvalidValue.New("unknown key %q", key)
	}
	n, err := t.parse(value)
	if err != nil {
		return err
	}
	t.store(s, n)
	return nil
}

// Get returns the value of key as Set takes it, or "" for an unknown key.
func (s *Settings) Get(key SettingKey) string {
	t := findTunable(key)
	if t == nil {
		return ""
	}
	return t.format(t.load(s))
}

func (t *tunable) parse(value string) (int64, error) {
	var n int64
	var err error
	switch t.unit {
	case unitDuration:
		var d time.Duration
		d, err = time.ParseDuration(value)
		n = int64(d)
		if err != nil {
			return 0, ErrInvalidValue.New("%q is not a duration such as 250ms, 30s or 24h", value)
		}
	case unitCount:
		n, err = strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0, ErrInvalidValue.New("%q is not a whole number", value)
		}
	case unitPercent:
		digits, ok := strings.CutSuffix(value, "%")
		n, err = strconv.ParseInt(digits, 10, 64)
		if err != nil || !ok {
			return 0, ErrInvalidValue.New("%q is not a whole percentage such as 10%%", value)
		}
	}
	return n, t.check(n)
}

func (t *tunable) check(n int64) error {
	if n < t.low || n > t.high {
		return ErrInvalidValue.New("%s is outside %s to %s", t.format(n), t.format(t.low), t.format(t.high))
	}
	return nil
}

func (t *tunable) format(n int64) string {
	switch t.unit {
	case unitDuration:
		return time.Duration(n).String()
	case unitPercent:
		return fmt.Sprintf("%d%%", n)
	default:
		return strconv.FormatInt(n, 10)
	}
}

func (t *tunable) store(s *Settings, n int64) {
	if t.duration != nil {
		*t.duration(s) = time.Duration(n)
		return
	}
	*t.number(s) = uint32(n)
}

func (t *tunable) load(s *Settings) int64 {
	if t.duration != nil {
		return int64(*t.duration(s))
	}
	return int64(*t.number(s))
}

// Share is a part of a whole, in millionths.
type Share uint32

// FullShare is all of it.
const FullShare Share = 1_000_000

// shareDigits is the number of decimals of a percentage that a Share keeps.
const shareDigits = 4

// ParseShare parses a percentage with up to four decimals, such as 12.5%.
func ParseShare(text string) (Share, error) {
	digits, ok := strings.CutSuffix(text, "%")
	whole, fraction, _ := strings.Cut(digits, ".")
	if !ok || len(fraction) > shareDigits {
		return 0, ErrInvalidValue.New("%q is not a percentage such as 40%% or 0.5%%", text)
	}
	padded := fraction + strings.Repeat("0", shareDigits-len(fraction))
	n, err := strconv.ParseUint(whole+padded, 10, 32)
	if err != nil || whole == "" {
		return 0, ErrInvalidValue.New("%q is not a percentage such as 40%% or 0.5%%", text)
	}
	if Share(n) > FullShare {
		return 0, ErrInvalidValue.New("%s is more than 100%%", text)
	}
	return Share(n), nil
}

// String formats the share as ParseShare takes it.
func (s Share) String() string {
	const perPercent = uint32(FullShare) / 100
	text := fmt.Sprintf("%d.%0*d", uint32(s)/perPercent, shareDigits, uint32(s)%perPercent)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".") + "%"
}
