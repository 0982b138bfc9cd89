package caller

const (
	// DefaultRetryRatio permits one retry per ten successful requests, which
	// bounds the load that retries add to a failing service.
	DefaultRetryRatio = 0.1
	// maxRetryTokens bounds the retries that accumulate under low load.
	maxRetryTokens = 100
	// initialRetryTokens permits a few retries before the first success.
	initialRetryTokens = 10
)

// RetryBudget limits the retries of one service at one entry, over all callers,
// to a ratio of the service's successful requests.
type RetryBudget struct {
	ratio  float64
	tokens float64
}

// NewRetryBudget returns a budget. A ratio of 0 means DefaultRetryRatio; a
// negative ratio permits no retries.
func NewRetryBudget(ratio float64) *RetryBudget {
	switch {
	case ratio < 0:
		return &RetryBudget{}
	case ratio == 0:
		ratio = DefaultRetryRatio
	}
	return &RetryBudget{ratio: ratio, tokens: initialRetryTokens}
}

// Succeeded records a successful request.
func (b *RetryBudget) Succeeded() { b.tokens = min(maxRetryTokens, b.tokens+b.ratio) }

// Take consumes one retry from the budget and reports whether the retry is
// permitted.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// MaxLostExecutions is the number of executions without a whole answer after which a
// request is not sent to another endpoint, even if it may be repeated: it may be the request
// that brings down the endpoints that execute it.
const MaxLostExecutions = 2
