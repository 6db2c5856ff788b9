package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSetIsPublishedWhileMetricsAreRead begins to publish a set in the middle of a read, which must not wait for it.
func TestSetIsPublishedWhileMetricsAreRead(t *testing.T) {
	is := is.New(t)
	New("read")
	name := fmt.Sprint("begun at ", time.Now()) // a name can be published once
	published := make(chan struct{})
	begin := sync.OnceFunc(func() {
		go func() {
			defer close(published)
			New(name)
		}()
		time.Sleep(100 * time.Millisecond) // the new set waits for the end of the read
	})
	expvar.Publish("beginning of the set "+name, expvar.Func(func() any {
		begin()
		return nil
	}))
	answered := make(chan int, 1)
	go func() {
		answer := httptest.NewRecorder()
		Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", nil))
		answered <- answer.Code
	}()
	select {
	case code := <-answered:
		is.Equal(code, http.StatusOK)
	case <-time.After(10 * time.Second):
		t.Fatal("the read waits for the set, and the set for the read")
	}
	<-published
}
