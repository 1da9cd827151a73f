package bfadmit

import (
	"fmt"
	"testing"
	"time"
)

var tmpReasons = map[string]int{}

func TestTmp(t *testing.T) {
	w := newWorld(12, NewGate(Config{Slots: 12}))
	w.run(runLength)
	for _, k := range w.kinds {
		z := 0
		for _, d := range k.toldAfter {
			if d == 0 {
				z++
			}
		}
		fmt.Println(k.class, "refused", k.refused, "at once", z, "p50", quantile(k.toldAfter, .5), "p90", quantile(k.toldAfter, .9), "p95", quantile(k.toldAfter, .95), "served/offered before", k.before, "after", k.after, "returns", k.returns, "offered", k.offered, "served", k.served)
	}
	fmt.Println(tmpReasons)
	_ = time.Now
}
func TestGrid(t *testing.T) {
	for _, d := range []time.Duration{0} {
		_ = d
		gate := NewGate(Config{Slots: 12})
		w := newWorld(12, gate)
		w.room = 6
		w.run(runLength)
		s := 0
		for _, k := range w.kinds {
			s += k.served
		}
		fmt.Println("cut", cutNumerator, "rounds", recoverRounds, "shed", w.shed, "served", s)
	}
}
