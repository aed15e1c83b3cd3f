package claim

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Generations is the number of bucket generations for which a claim is kept. A
// generation lasts at least one generation interval (keep time / Generations) by
// the clock of the keeper that ends it. A claim therefore lives at least
// Generations-1 intervals after its last grant, and the clocks of two instances are
// never compared.
const Generations = 8

// content is a decoded bucket.
type content struct {
	generation uint64 // current generation, see Generations
	claims     map[Key]Claim
}

func newContent() *content { return &content{claims: make(map[Key]Claim)} }

// draft holds changes to a content that are not stored yet. It refers to the claims
// of its base instead of copying them, so its memory grows only with the changes.
type draft struct {
	base       *content
	generation uint64
	put        map[Key]Claim
	deleted    map[Key]struct{}
}

func (c *content) draft() *draft {
	return &draft{base: c, generation: c.generation, put: make(map[Key]Claim), deleted: make(map[Key]struct{})}
}

func (d *draft) get(k Key) (Claim, bool) {
	if v, ok := d.put[k]; ok {
		return v, true
	}
	if _, ok := d.deleted[k]; ok {
		return Claim{}, false
	}
	v, ok := d.base.claims[k]
	return v, ok
}

func (d *draft) set(v Claim) {
	delete(d.deleted, v.Key)
	d.put[v.Key] = v
}

func (d *draft) remove(k Key) {
	delete(d.put, k)
	d.deleted[k] = struct{}{}
}

// advanceGeneration starts a new generation and removes the claims that were last
// granted at least Generations generations ago.
func (d *draft) advanceGeneration() {
	d.generation++
	for k, v := range d.base.claims {
		if d.generation-v.Generation >= Generations {
			d.remove(k)
		}
	}
}

// commit applies the draft's changes to its base and returns the base.
func (d *draft) commit() *content {
	for k := range d.deleted {
		delete(d.base.claims, k)
	}
	for k, v := range d.put {
		d.base.claims[k] = v
	}
	d.base.generation = d.generation
	return d.base
}

// bucketSpec is the JSON value of a ClaimBucket object.
type bucketSpec struct {
	Count int    `json:"count"` // number of claims; for people who inspect the object, ignored by decode
	CBOR  []byte `json:"cbor"`  // encoded bucketRow; base64 in JSON
}

// bucketRow is the CBOR form of a bucket. Claims refer to gateways, runners and
// incarnations by their index in Names, so that each name is stored once.
type bucketRow struct {
	_          struct{} `cbor:",toarray"`
	Generation uint64
	Names      []string
	Claims     []claimRow
}

type claimRow struct {
	_           struct{} `cbor:",toarray"`
	Key         []byte
	Body        []byte
	RunID       string
	Holder      int // index into Names, as are Runner and Incarnation
	Runner      int
	Incarnation int
	Attempt     int
	Serial      uint64
	Generation  uint64
}

// nameTable assigns an index to each distinct name.
type nameTable struct {
	list  []string
	index map[string]int
}

func (n *nameTable) indexOf(name string) int {
	if i, ok := n.index[name]; ok {
		return i
	}
	i := len(n.list)
	n.index[name] = i
	n.list = append(n.list, name)
	return i
}

// encode returns the bucket's JSON value. Equal contents encode to equal bytes.
func (d *draft) encode() (json.RawMessage, error) {
	n := nameTable{index: make(map[string]int)}
	row := bucketRow{Generation: d.generation, Claims: make([]claimRow, 0, len(d.base.claims)+len(d.put))}
	for _, v := range d.sortedClaims() {
		row.Claims = append(row.Claims, claimRow{
			Key:         v.Key[:],
			Body:        v.Body[:],
			RunID:       v.RunID,
			Holder:      n.indexOf(v.Holder),
			Runner:      n.indexOf(v.Runner),
			Incarnation: n.indexOf(v.Incarnation),
			Attempt:     v.Attempt,
			Serial:      v.Serial,
			Generation:  v.Generation,
		})
	}
	row.Names = n.list
	b, err := cbor.Marshal(row)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a claim bucket")
	}
	return json.Marshal(bucketSpec{Count: len(row.Claims), CBOR: b})
}

// sortedClaims returns the claims of the draft and its base in key order.
func (d *draft) sortedClaims() []Claim {
	out := make([]Claim, 0, len(d.base.claims)+len(d.put))
	for k, v := range d.base.claims {
		_, changed := d.put[k]
		_, gone := d.deleted[k]
		if !changed && !gone {
			out = append(out, v)
		}
	}
	for _, v := range d.put {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Claim) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return out
}

// decode parses a bucket's JSON value. It returns an error for anything malformed,
// so that a keeper never overwrites a bucket that it cannot read.
func decode(spec json.RawMessage) (*content, error) {
	var s bucketSpec
	if err := json.Unmarshal(spec, &s); err != nil {
		return nil, errors.Wrap(err, "decoding a claim bucket")
	}
	var row bucketRow
	if err := cbor.Unmarshal(s.CBOR, &row); err != nil {
		return nil, errors.Wrap(err, "decoding a claim bucket")
	}
	c := newContent()
	c.generation = row.Generation
	for _, r := range row.Claims {
		v, err := r.toClaim(row.Names)
		if err != nil {
			return nil, err
		}
		c.claims[v.Key] = v
	}
	return c, nil
}

func (r claimRow) toClaim(names []string) (Claim, error) {
	if len(r.Key) != hashBytes || len(r.Body) != hashBytes {
		return Claim{}, errors.Errorf("decoding a claim bucket: key hash of %d bytes and body hash of %d bytes, want %d", len(r.Key), len(r.Body), hashBytes)
	}
	for _, i := range []int{r.Holder, r.Runner, r.Incarnation} {
		if i < 0 || i >= len(names) {
			return Claim{}, errors.Errorf("decoding a claim bucket: name index %d out of range, %d names", i, len(names))
		}
	}
	return Claim{
		Key:         Key(r.Key),
		Body:        Hash(r.Body),
		RunID:       r.RunID,
		Holder:      names[r.Holder],
		Runner:      names[r.Runner],
		Incarnation: names[r.Incarnation],
		Attempt:     r.Attempt,
		Serial:      r.Serial,
		Generation:  r.Generation,
	}, nil
}
