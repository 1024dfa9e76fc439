package attempt

// RetryLimiter grants or denies one more send of a request. Budget implements it.
type RetryLimiter interface {
	Withdraw() bool
}

// tokenUnit is one whole token in the budget's integer scale.
const tokenUnit = 1_000_000

// Budget bounds the retries and hedges of a service to a share of its first
// sends. Every first send deposits a share of a token; every further send
// withdraws a whole one.
type Budget struct {
	deposit int64
	limit   int64
	held    int64
}

// NewBudget returns a budget that lets further sends add at most ratio of the
// first sends, and holds at most burst tokens. It starts empty, so the bound
// holds from the first request on.
func NewBudget(ratio float64, burst int) *Budget {
	return &Budget{deposit: int64(ratio * tokenUnit), limit: int64(burst) * tokenUnit}
}

// Deposit counts a first send.
func (b *Budget) Deposit() { b.held = min(b.held+b.deposit, b.limit) }

// Withdraw takes a token for a further send. It reports false if none is left.
func (b *Budget) Withdraw() bool {
	if b.held < tokenUnit {
		return false
	}
	b.held -= tokenUnit
	return true
}
