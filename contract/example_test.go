package contract_test

import (
	"fmt"

	"github.com/agateslip/agateslip/contract"
)

// Decode validates the contract. Each problem names its line, field and rule.
func ExampleDecode() {
	_, err := contract.Decode("studio.yaml", []byte(`customer: studio
keys:
  - {id: app, sha256: e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855}
wait: 8
capacity: {replicas: 1, concurrency: 4, rate: 10, burst: 5, queue: 20}
services:
  - name: queue
`))
	fmt.Println(err)
	// Output:
	// studio.yaml:4: wait: "8" is not a duration with a unit, such as 1.5s
}
