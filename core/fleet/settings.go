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

// ErrInvalidValue is the error type for unknown keys and invalid values.
var ErrInvalidValue = namespace.NewType("value").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// SettingKey is the name of a setting.
type SettingKey string

// Settings are the fleet-wide defaults or the effective settings of one target.
type Settings struct {
	// Deadline is the deadline of requests whose callers set none.
	Deadline time.Duration `cbor:"1,keyasint" json:"deadline"`
	// QueueTime is the longest time that a request waits for a slot.
	QueueTime time.Duration `cbor:"2,keyasint" json:"queue_time"`
	// IdleTimeout is the time without packets after which a flow ends.
	IdleTimeout time.Duration `cbor:"3,keyasint" json:"idle_timeout"`
	// WarmupDuration is the time in which the weight of a new backend server ramps up.
	WarmupDuration time.Duration `cbor:"4,keyasint" json:"warming"`
	// DrainLimit is the time after which the remaining flows of a draining backend
	// server are ended.
	DrainLimit time.Duration `cbor:"5,keyasint" json:"drain_limit"`
	// LeaseDuration is the time for which an announcement is valid without renewal.
	LeaseDuration time.Duration `cbor:"6,keyasint" json:"lease"`
	// Weight is the weight for new flows, relative to view.FullWeight.
	Weight uint32 `cbor:"7,keyasint" json:"weight"`
	// RetryBudgetPercent is the maximum additional load due to retries, in percent.
	RetryBudgetPercent uint32 `cbor:"8,keyasint" json:"retry_budget"`
	// MaxEjectedPercent is the maximum percentage of a service's backend servers that
	// may be ejected as unhealthy at the same time.
	MaxEjectedPercent uint32 `cbor:"9,keyasint" json:"max_ejected"`
	// WarmupFlowLimit is the number of new flows that a cold backend server takes in any
	// second; 0 for no limit. Where it is set, it takes the place of the ramp of weights.
	WarmupFlowLimit uint32 `cbor:"10,keyasint,omitempty" json:"warmup_flow_limit"`
	// MeasuredCapacity is 1 if new flows are placed by the service times that agents
	// measure, and 0 if all backend servers count as equally fast.
	MeasuredCapacity uint32 `cbor:"11,keyasint,omitempty" json:"measured_capacity,omitempty"`
	// MaxUnfitPercent is the maximum percentage of a service's backend servers that get
	// no new flows at the same time because their agents see them answer no requests; 0
	// means that agents do not judge it.
	MaxUnfitPercent uint32 `cbor:"12,keyasint,omitempty" json:"max_unfit,omitempty"`
	// WaitLimitPercent is the part of a listener's timeout beyond which a new flow that
	// would have to wait for its first response is refused; 0 refuses none.
	WaitLimitPercent uint32 `cbor:"13,keyasint,omitempty" json:"wait_limit"`
	// ReservedSharePercent is the part of a service's new flows that is reserved in equal
	// parts for the listeners in use; 0 reserves nothing.
	ReservedSharePercent uint32 `cbor:"14,keyasint,omitempty" json:"reserved_share"`
	// CallerSharePercent is the largest part of a service's new flows that one caller's
	// address gets while slots are short; 0 sets no bound.
	CallerSharePercent uint32 `cbor:"15,keyasint,omitempty" json:"caller_share"`
}

// DefaultSettings returns the settings of a new fleet.
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

// unit determines the text format of a value.
type unit uint8

const (
	unitDuration unit = iota
	unitCount
	unitPercent
	unitSwitch
)

// switchTexts are the texts of the values 0 and 1 of a switch.
var switchTexts = [...]string{"off", "on"}

// settingSpec describes one key of Settings. minValue and maxValue are in the unit of
// the field: nanoseconds, a count or percent.
type settingSpec struct {
	key                SettingKey
	unit               unit
	minValue, maxValue int64
	// scopes are the scopes of exceptions that may override the key. It is nil if the
	// key can be set only for the whole fleet.
	scopes   []Scope
	duration func(*Settings) *time.Duration
	number   func(*Settings) *uint32
}

var (
	// allScopes lists the scopes in the order in which exceptions are applied.
	allScopes        = []Scope{ScopeZone, ScopeService, ScopeBackendServer}
	serviceScopeOnly = []Scope{ScopeService}
)

const day = 24 * time.Hour

var settingSpecs = []settingSpec{
	{
		key: "deadline", minValue: int64(10 * time.Millisecond), maxValue: int64(time.Hour), scopes: serviceScopeOnly,
		duration: func(s *Settings) *time.Duration { return &s.Deadline },
	},
	{
		key: "queue_time", minValue: 0, maxValue: int64(time.Minute), scopes: serviceScopeOnly,
		duration: func(s *Settings) *time.Duration { return &s.QueueTime },
	},
	{
		key: "idle_timeout", minValue: int64(time.Second), maxValue: int64(7 * day), scopes: serviceScopeOnly,
		duration: func(s *Settings) *time.Duration { return &s.IdleTimeout },
	},
	{
		key: "warming", minValue: int64(time.Second), maxValue: int64(day),
		duration: func(s *Settings) *time.Duration { return &s.WarmupDuration },
	},
	{
		key: "drain_limit", minValue: int64(time.Second), maxValue: int64(30 * day), scopes: serviceScopeOnly,
		duration: func(s *Settings) *time.Duration { return &s.DrainLimit },
	},
	{
		key: "lease", minValue: int64(2 * time.Second), maxValue: int64(5 * time.Minute),
		duration: func(s *Settings) *time.Duration { return &s.LeaseDuration },
	},
	{
		key: "weight", unit: unitCount, minValue: 0, maxValue: 10_000, scopes: allScopes,
		number: func(s *Settings) *uint32 { return &s.Weight },
	},
	{
		key: "retry_budget", unit: unitPercent, minValue: 0, maxValue: 100, scopes: serviceScopeOnly,
		number: func(s *Settings) *uint32 { return &s.RetryBudgetPercent },
	},
	{
		key: "max_ejected", unit: unitPercent, minValue: 1, maxValue: 100,
		number: func(s *Settings) *uint32 { return &s.MaxEjectedPercent },
	},
	{
		key: "warmup_flow_limit", unit: unitCount, minValue: 0, maxValue: 10_000, scopes: serviceScopeOnly,
		number: func(s *Settings) *uint32 { return &s.WarmupFlowLimit },
	},
	{
		key: "measured_capacity", unit: unitSwitch, minValue: 0, maxValue: 1, scopes: serviceScopeOnly,
		number: func(s *Settings) *uint32 { return &s.MeasuredCapacity },
	},
	{
		key: "max_unfit", unit: unitPercent, minValue: 0, maxValue: 100,
		number: func(s *Settings) *uint32 { return &s.MaxUnfitPercent },
	},
	{
		key: "wait_limit", unit: unitPercent, minValue: 0, maxValue: 100, scopes: serviceScopeOnly,
		number: func(s *Settings) *uint32 { return &s.WaitLimitPercent },
	},
	{
		key: "reserved_share", unit: unitPercent, minValue: 0, maxValue: 100, scopes: serviceScopeOnly,
		number: func(s *Settings) *uint32 { return &s.ReservedSharePercent },
	},
	{
		key: "caller_share", unit: unitPercent, minValue: 0, maxValue: 100, scopes: serviceScopeOnly,
		number: func(s *Settings) *uint32 { return &s.CallerSharePercent },
	},
}

// SettingKeys returns all keys in a fixed order.
func SettingKeys() []SettingKey {
	keys := make([]SettingKey, len(settingSpecs))
	for i := range settingSpecs {
		keys[i] = settingSpecs[i].key
	}
	return keys
}

func findSetting(key SettingKey) *settingSpec {
	i := slices.IndexFunc(settingSpecs, func(spec settingSpec) bool { return spec.key == key })
	if i < 0 {
		return nil
	}
	return &settingSpecs[i]
}

// Set parses value and sets key to it. Durations are written as 250ms, 30s or
// 24h, percentages as 10%, switches as on or off. If it returns an error, s is unchanged.
func (s *Settings) Set(key SettingKey, value string) error {
	spec := findSetting(key)
	if spec == nil {
		return ErrInvalidValue.New("unknown key %q", key)
	}
	n, err := spec.parse(value)
	if err != nil {
		return err
	}
	spec.store(s, n)
	return nil
}

// Get returns the value of key in the format of Set, or "" if the key is unknown.
func (s *Settings) Get(key SettingKey) string {
	spec := findSetting(key)
	if spec == nil {
		return ""
	}
	return spec.format(spec.load(s))
}

func (spec *settingSpec) parse(value string) (int64, error) {
	var n int64
	var err error
	switch spec.unit {
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
	case unitSwitch:
		i := slices.Index(switchTexts[:], value)
		if i < 0 {
			return 0, ErrInvalidValue.New("%q is neither on nor off", value)
		}
		n = int64(i)
	}
	return n, spec.check(n)
}

func (spec *settingSpec) check(n int64) error {
	if n < spec.minValue || n > spec.maxValue {
		return ErrInvalidValue.New("%s is outside %s to %s", spec.format(n), spec.format(spec.minValue), spec.format(spec.maxValue))
	}
	return nil
}

func (spec *settingSpec) format(n int64) string {
	switch spec.unit {
	case unitDuration:
		return time.Duration(n).String()
	case unitPercent:
		return fmt.Sprintf("%d%%", n)
	case unitSwitch:
		return switchTexts[min(max(n, 0), 1)]
	default:
		return strconv.FormatInt(n, 10)
	}
}

func (spec *settingSpec) store(s *Settings, n int64) {
	if spec.duration != nil {
		*spec.duration(s) = time.Duration(n)
		return
	}
	*spec.number(s) = uint32(n)
}

func (spec *settingSpec) load(s *Settings) int64 {
	if spec.duration != nil {
		return int64(*spec.duration(s))
	}
	return int64(*spec.number(s))
}

// Share is a fraction in millionths.
type Share uint32

// FullShare is the share of 100%.
const FullShare Share = 1_000_000

// shareDigits is the number of decimal places of a Share in percent.
const shareDigits = 4

// ParseShare parses a percentage with up to four decimal places, such as 12.5%.
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

// String formats the share in the format of ParseShare.
func (s Share) String() string {
	const perPercent = uint32(FullShare) / 100
	text := fmt.Sprintf("%d.%0*d", uint32(s)/perPercent, shareDigits, uint32(s)%perPercent)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".") + "%"
}
