package position

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"sort"

	"chicoryline/internal/errkind"
)

const (
	// MaxTokenBytes bounds the text form of a session token, in bytes.
	MaxTokenBytes = 4096
	// MaxTokenGroups bounds the entries of a session token.
	MaxTokenGroups = 64

	tokenFormat = 1
	macBytes    = 16
)

// Sealer seals vectors into session tokens and opens them. It holds a secret from the
// configuration and is safe for concurrent use.
type Sealer struct {
	secret []byte
	accept [][]byte
}

// NewSealer returns a sealer that seals with the secret and opens tokens sealed with any of
// the accepted secrets. Without a secret it seals empty tokens; without an accepted secret it
// opens none.
func NewSealer(secret []byte, accept [][]byte) *Sealer {
	return &Sealer{secret: secret, accept: accept}
}

// Seal returns the token for the customer. If the vector has more than MaxTokenGroups entries,
// the first ones by name are kept; a group left out is treated as one with unknown history,
// which is safe.
func (s *Sealer) Seal(customer string, v Vector) string {
	if len(s.secret) == 0 {
		return ""
	}
	names := make([]string, 0, len(v))
	for name := range v {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) > MaxTokenGroups {
		names = names[:MaxTokenGroups]
	}
	body := []byte{tokenFormat}
	for _, name := range names {
		body = binary.AppendUvarint(body, uint64(len(name)))
		body = append(body, name...)
		body = binary.AppendUvarint(body, v[name].Term)
		body = binary.AppendUvarint(body, v[name].Offset)
	}
	return base64.RawURLEncoding.EncodeToString(append(body, mac(s.secret, customer, body)...))
}

// Open verifies the token and returns its vector. It returns errkind.BadToken for a forged or
// malformed token and for one of another customer.
func (s *Sealer) Open(customer, token string) (Vector, error) {
	if len(token) > MaxTokenBytes {
		return nil, errkind.New(errkind.BadToken, "token is %d bytes, over %d", len(token), MaxTokenBytes)
	}
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < 1+macBytes || raw[0] != tokenFormat {
		return nil, errkind.New(errkind.BadToken, "malformed")
	}
	body, seal := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	for _, secret := range s.accept {
		if len(secret) > 0 && hmac.Equal(seal, mac(secret, customer, body)) {
			return decodeVector(body[1:])
		}
	}
	return nil, errkind.New(errkind.BadToken, "seal does not match")
}

func mac(secret []byte, customer string, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(binary.AppendUvarint(nil, uint64(len(customer))))
	h.Write([]byte(customer))
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

func decodeVector(b []byte) (Vector, error) {
	v := Vector{}
	for len(b) > 0 {
		size, n := binary.Uvarint(b)
		if n <= 0 || size > uint64(len(b)-n) {
			return nil, errkind.New(errkind.BadToken, "malformed entry")
		}
		name := string(b[n : n+int(size)])
		b = b[n+int(size):]
		term, n1 := binary.Uvarint(b)
		if n1 <= 0 {
			return nil, errkind.New(errkind.BadToken, "malformed term")
		}
		offset, n2 := binary.Uvarint(b[n1:])
		if n2 <= 0 {
			return nil, errkind.New(errkind.BadToken, "malformed offset")
		}
		b = b[n1+n2:]
		v[name] = Position{Term: term, Offset: offset}
		if len(v) > MaxTokenGroups {
			return nil, errkind.New(errkind.BadToken, "over %d groups", MaxTokenGroups)
		}
	}
	return v, nil
}
