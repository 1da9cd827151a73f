package bfquarantine

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against answers being forgotten early or remembered forever.
func TestAnswersAreRememberedForAWhile(t *testing.T) {
	is := is.New(t)
	var a RecentAnswers
	is.True(!a.Has(mix(7), start))
	a.Add(mix(7), start)
	is.True(a.Has(mix(7), start))
	a.Add(mix(8), start.Add(answerRetention))
	is.True(a.Has(mix(7), start.Add(answerRetention)))
	is.True(a.Has(mix(8), start.Add(answerRetention)))
	a.Add(mix(9), start.Add(2*answerRetention))
	is.True(!a.Has(mix(7), start.Add(2*answerRetention)))
	is.True(!a.Has(mix(9), start.Add(10*answerRetention)))
	a.Add(mix(10), start.Add(20*answerRetention))
	is.True(!a.Has(mix(9), start.Add(20*answerRetention)))
}

// Guards against a high false-positive rate, which would leave requests that crash targets
// unblamed.
func TestFalsePositiveRate(t *testing.T) {
	is := is.New(t)
	var a RecentAnswers
	const answers, asked = 20 * filterCapacity, 100_000
	for i := range uint64(answers) {
		a.Add(mix(i+1), start)
	}
	is.True(a.Has(mix(answers), start))
	wrong := 0
	for i := range uint64(asked) {
		if a.Has(mix(answers+i+1), start) {
			wrong++
		}
	}
	is.True(wrong < asked/20)
}

func BenchmarkAddAnAnswer(b *testing.B) {
	var a RecentAnswers
	sum := uint64(0)
	for b.Loop() {
		sum++
		a.Add(mix(sum), start)
	}
}
