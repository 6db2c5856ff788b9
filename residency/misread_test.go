package residency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/residency"
)

// TestMisreadAnswersNeitherOverfillNorBlockEngines loses many orders and takes many answers for others, as answers that do not
// name their order can be. An engine must not be told to hold more than fits meanwhile, and must load models and adapters after
// that.
func TestMisreadAnswersNeitherOverfillNorBlockEngines(t *testing.T) {
	answers := []residency.Answer{
		residency.Accepted, residency.AlreadyDone, residency.Refused, residency.Fenced,
		residency.OtherUpstream, residency.Impossible, residency.Unanswered,
	}
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 0))
			s := newSimulation(t, 2, 8, true)
			s.run(second)
			s.misread = func(deliver func() residency.Answer) residency.Answer {
				wrong := answers[random.IntN(len(answers))]
				switch random.IntN(6) {
				case 0: // the order is lost
					return wrong
				case 1:
					deliver()
					return wrong
				}
				return deliver()
			}
			for range 12 {
				s.addWaiting("n", fmt.Sprint("m", random.IntN(8)), fmt.Sprint("a", 1+random.IntN(4)), 1)
				s.addWaiting("o", fmt.Sprint("m", random.IntN(8)), "", 2)
				s.run(1700 * ms)
			}
			s.misread = nil
			s.run(8 * second)
			for i := range 8 {
				model, adapter := fmt.Sprint("m", i), "a1"
				s.addWaiting("n", model, adapter, 2)
				s.run(4 * second)
				is.True(s.serves(model, adapter))
			}
		})
	}
}
