// Package contract defines contracts: what a customer and the operators agreed on and the
// limits that follow from it. It decodes and validates contracts, and has no state, clock
// or I/O.
package contract

import "time"

// Contract is the agreement with one customer. Every limit that the system
// enforces for that customer is derived from it.
type Contract struct {
	// Customer is the unique name of the customer.
	Customer string `yaml:"customer" json:"customer" validate:"required,slug"`
	// Keys are the credentials that callers of this customer present.
	Keys []Key `yaml:"keys" json:"keys" validate:"required,min=1,dive"`
	// Wait bounds the time from a request's arrival until its answer starts or
	// its refusal is sent.
	Wait Duration `yaml:"wait" json:"wait" validate:"required,gt=0"`
	// Capacity holds the customer's limits over all nodes together.
	Capacity Capacity `yaml:"capacity" json:"capacity"`
	// Models are the models the customer may call.
	Models []Model `yaml:"models,omitempty" json:"models,omitempty" validate:"dive"`
	// Services are the plain services the customer may call: HTTP services without models.
	Services []Service `yaml:"services,omitempty" json:"services,omitempty" validate:"dive"`
}

// Key is a credential of the customer's callers, a bearer token. Only its hash is stored.
type Key struct {
	// ID identifies the key in logs and in the audit trail.
	ID string `yaml:"id" json:"id" validate:"required,name"`
	// SHA256 is the lower-case hexadecimal SHA-256 of the bearer token.
	SHA256 string `yaml:"sha256" json:"sha256" validate:"required,len=64,hexadecimal,lowercase"`
}

// Capacity holds a customer's limits over all nodes together.
type Capacity struct {
	// Replicas bounds the loaded model replicas of the customer.
	Replicas int `yaml:"replicas" json:"replicas" validate:"gte=0"`
	// Concurrency bounds the requests running at once.
	Concurrency int `yaml:"concurrency" json:"concurrency" validate:"required,gte=1"`
	// Rate bounds the requests accepted per second, on average.
	Rate float64 `yaml:"rate" json:"rate" validate:"required,gt=0"`
	// Burst bounds the requests accepted at one instant. It is the size of the token
	// bucket that Rate refills.
	Burst int `yaml:"burst" json:"burst" validate:"required,gte=1"`
	// Queue bounds the requests waiting in queues at once.
	Queue int `yaml:"queue" json:"queue" validate:"required,gte=1"`
}

// Model is a model that the customer may call, with its adapters and limits.
type Model struct {
	// Name is the name that callers use.
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Memory is the accelerator memory that one loaded replica needs, in bytes.
	Memory Bytes `yaml:"memory" json:"memory" validate:"required,gt=0"`
	// Replicas bounds the loaded replicas of this model; DefaultReplicas if unset.
	Replicas int `yaml:"replicas,omitempty" json:"replicas,omitempty" validate:"gte=0"`
	// Reserved is the number of replicas kept loaded at all times.
	Reserved int `yaml:"reserved,omitempty" json:"reserved,omitempty" validate:"gte=0"`
	// Slots is the number of requests one replica runs at once; DefaultSlots if unset.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty" validate:"gte=0"`
	// Adapters are the names of the model's adapters. Callers use them like model names.
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"dive,name"`
}

// Service is a plain service that the customer may call.
type Service struct {
	// Name is the service's name. Its path prefix is /services/NAME/.
	Name string `yaml:"name" json:"name" validate:"required,slug"`
	// NotRepeatable lists the routes whose calls run at most once.
	NotRepeatable []Route `yaml:"notRepeatable,omitempty" json:"notRepeatable,omitempty" validate:"dive"`
}

// Route selects calls of a plain service by method and path.
type Route struct {
	// Methods are the HTTP methods of the route; empty means every method.
	Methods []string `yaml:"methods,omitempty" json:"methods,omitempty" validate:"dive,oneof=GET HEAD POST PUT PATCH DELETE"`
	// Path is the path below the service's prefix. With a trailing slash, the route also
	// selects every path below it.
	Path string `yaml:"path" json:"path" validate:"required,startswith=/"`
}

// Duration is a time.Duration whose text form has units, as in "1.5s".
type Duration time.Duration

// Bytes is an amount of memory in bytes whose text form has a unit, as in "14GiB".
type Bytes int64
