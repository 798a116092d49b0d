package dfustore

import "context"

// AnswerEra is the number of times that the store had been restored from an older copy when
// it gave an answer. Known is set once the answer to a call has arrived with an era.
type AnswerEra struct {
	Era   uint64
	Known bool
}

type answerEraKey struct{}

// WithAnswerEra returns a context for one call of a Store, which sets era before it returns
// if the answer has one. Several calls are answered at a time, so that the latest era that
// was seen may be newer than that of an answer.
func WithAnswerEra(ctx context.Context, era *AnswerEra) context.Context {
	return context.WithValue(ctx, answerEraKey{}, era)
}

// SetAnswerEra sets the era of the answer to the call that ctx belongs to.
func SetAnswerEra(ctx context.Context, era uint64) {
	if a, ok := ctx.Value(answerEraKey{}).(*AnswerEra); ok {
		*a = AnswerEra{Era: era, Known: true}
	}
}
