package attempt

// RetryLimiter grants or denies a further send of a request. Budget implements it.
type RetryLimiter interface {
	Withdraw() bool
}

// tokenUnit is one token in the integer scale of Budget.
const tokenUnit = 1_000_000

// Budget is a token bucket that limits the retries and hedges of a service to a
// ratio of its first sends. A first send deposits a fraction of a token; a
// further send withdraws one token.
type Budget struct {
	deposit int64
	limit   int64
	tokens  int64
}

// NewBudget returns a budget that limits further sends to ratio of the first
// sends and stores at most burst tokens. It starts empty, so the limit applies
// from the first request on.
func NewBudget(ratio float64, burst int) *Budget {
	return &Budget{deposit: int64(ratio * tokenUnit), limit: int64(burst) * tokenUnit}
}

// Deposit adds the tokens of a first send.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.deposit, b.limit) }

// Withdraw removes a token for a further send. It reports false if there is none.
func (b *Budget) Withdraw() bool {
	if b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	return true
}
