package origin

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Key identifies a caller's request for a stream of a service.
type Key uint64

// KeyOf returns the key of the request with the given ID.
func KeyOf(service, id string) Key { return Key(xxhash.Sum64String(service + "\x00" + id)) }

// keyBytes is the size of an encoded key.
const keyBytes = 8

// Batch is a number of streams that began at one software version.
type Batch struct {
	Software string `json:"v"`
	// Keys holds the keys of the streams, in eight bytes each.
	Keys []byte `json:"k"`
}

// Add adds a stream to the batch of its version.
func Add(batches []Batch, software string, k Key) []Batch {
	i := slices.IndexFunc(batches, func(b Batch) bool { return b.Software == software })
	if i < 0 {
		i = len(batches)
		batches = append(batches, Batch{Software: software})
	}
	batches[i].Keys = binary.BigEndian.AppendUint64(batches[i].Keys, uint64(k))
	return batches
}

// AddAll adds the streams of a batch to that of their version.
func AddAll(batches []Batch, b *Batch) []Batch {
	b.each(func(k Key) { batches = Add(batches, b.Software, k) })
	return batches
}

// each calls fn for each key of the batch.
func (b *Batch) each(fn func(Key)) {
	for keys := b.Keys; len(keys) >= keyBytes; keys = keys[keyBytes:] {
		fn(Key(binary.BigEndian.Uint64(keys)))
	}
}

// Change is a command of the replicated log. The steps that are set apply in the order of the fields.
type Change struct {
	// Begun records streams. A later record of the same stream replaces the earlier one.
	Begun []Batch `json:"begun,omitempty"`
	// Bases replaces the base versions, by service, if they still are Before.
	Before map[string]string  `json:"before,omitempty"`
	Bases  *map[string]string `json:"bases,omitempty"`
	// Expire drops the records from before the last Expire, if there have been Expiries of them so far.
	Expire   bool   `json:"expire,omitempty"`
	Expiries uint64 `json:"expiries,omitempty"`
}

// MaxRecords bounds the records between two Expire steps: more than a minute of streams at 1,500
// a second. They take some megabytes.
const MaxRecords = 1 << 17

// Table is the replicated state.
type Table struct {
	bases map[string]string
	// recent holds the records since the last Expire, and older those of the time before.
	recent, older records
	// expiries is the number of Expire steps that have taken effect.
	expiries uint64
}

// records holds streams by their key, with an index into versions.
type records struct {
	versions []string
	byKey    map[Key]uint32
}

func newRecords() records { return records{byKey: map[Key]uint32{}} }

// NewTable returns a table without base versions and records.
func NewTable() *Table {
	return &Table{bases: map[string]string{}, recent: newRecords(), older: newRecords()}
}

// Apply applies a change.
func (t *Table) Apply(c *Change) {
	for i := range c.Begun {
		t.recent.add(&c.Begun[i])
	}
	if c.Bases != nil && maps.Equal(c.Before, t.bases) {
		t.bases = maps.Clone(*c.Bases)
	}
	if c.Expire && c.Expiries == t.expiries {
		t.recent, t.older = newRecords(), t.recent
		t.expiries++
	}
}

func (r *records) add(b *Batch) {
	version := slices.Index(r.versions, b.Software)
	if version < 0 {
		version = len(r.versions)
		r.versions = append(r.versions, b.Software)
	}
	b.each(func(k Key) { r.byKey[k] = uint32(version) })
}

// find returns the version of a recorded stream.
func (r *records) find(k Key) (software string, ok bool) {
	version, ok := r.byKey[k]
	if !ok {
		return "", false
	}
	return r.versions[version], true
}

// Recorded returns the version of a recorded stream.
func (t *Table) Recorded(k Key) (software string, ok bool) {
	if software, ok = t.recent.find(k); ok {
		return software, true
	}
	return t.older.find(k)
}

// Find returns the version at which a stream of a service began. It is not known if the stream is
// not recorded and the service has no base version.
func (t *Table) Find(service string, k Key) (software string, known bool) {
	if software, known = t.Recorded(k); known {
		return software, true
	}
	software, known = t.bases[service]
	return software, known
}

// Bases returns a copy of the base versions, by service.
func (t *Table) Bases() map[string]string { return maps.Clone(t.bases) }

// RecentRecords returns the number of records since the last Expire.
func (t *Table) RecentRecords() int { return len(t.recent.byKey) }

// Expiries returns the number of Expire steps that have taken effect.
func (t *Table) Expiries() uint64 { return t.expiries }

// Empty reports whether there are no records.
func (t *Table) Empty() bool { return len(t.recent.byKey)+len(t.older.byKey) == 0 }

// tableJSON is the encoding of a Table.
type tableJSON struct {
	Bases    map[string]string `json:"bases,omitempty"`
	Recent   []Batch           `json:"recent,omitempty"`
	Older    []Batch           `json:"older,omitempty"`
	Expiries uint64            `json:"expiries,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (t *Table) MarshalJSON() ([]byte, error) {
	return json.Marshal(tableJSON{t.bases, t.recent.batches(), t.older.batches(), t.expiries})
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Table) UnmarshalJSON(data []byte) error {
	var decoded tableJSON
	if err := json.Unmarshal(data, &decoded); err != nil {
		return errors.Wrap(err, "decode origins of streams")
	}
	*t = *NewTable()
	maps.Copy(t.bases, decoded.Bases)
	t.expiries = decoded.Expiries
	for i := range decoded.Recent {
		t.recent.add(&decoded.Recent[i])
	}
	for i := range decoded.Older {
		t.older.add(&decoded.Older[i])
	}
	return nil
}

// batches returns the records in a fixed order.
func (r *records) batches() []Batch {
	var out []Batch
	for _, k := range slices.Sorted(maps.Keys(r.byKey)) {
		out = Add(out, r.versions[r.byKey[k]], k)
	}
	return out
}
