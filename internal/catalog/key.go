package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
)

// Sizes of keys and salts in bytes.
const (
	keyBytes  = 32
	saltBytes = 16
	maxSalt   = 64
)

// HashKey returns the salted hash of a key. One round of SHA-256 is sufficient:
// keys from NewKey have 256 random bits and cannot be guessed by search, so a slow
// password hash would make each check more expensive without improving security.
// The salt prevents equal keys from having equal hashes.
func HashKey(key string, salt []byte) KeyHash {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(key))
	return KeyHash{Salt: salt, Hash: h.Sum(nil)}
}

// NewKey generates a key and its salted hash from the random source. The key is
// shown to the operator once and not stored.
func NewKey(random io.Reader) (string, KeyHash, error) {
	raw := make([]byte, keyBytes+saltBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", KeyHash{}, err
	}
	key := base64.RawURLEncoding.EncodeToString(raw[:keyBytes])
	return key, HashKey(key, raw[keyBytes:]), nil
}

// Matches reports in constant time whether the key has this hash. The zero
// KeyHash matches no key.
func (h KeyHash) Matches(key string) bool {
	if len(h.Hash) != sha256.Size {
		return false
	}
	return subtle.ConstantTimeCompare(HashKey(key, h.Salt).Hash, h.Hash) == 1
}

// Equal reports whether both have the same salt and hash.
func (h KeyHash) Equal(other KeyHash) bool { return h.String() == other.String() }

// String returns the form used in patches, "saltHex:sha256Hex".
func (h KeyHash) String() string {
	return hex.EncodeToString(h.Salt) + ":" + hex.EncodeToString(h.Hash)
}

// ParseKeyHash parses the output of String.
func ParseKeyHash(text string) (KeyHash, error) {
	saltHex, hashHex, ok := strings.Cut(text, ":")
	if !ok {
		return KeyHash{}, fmt.Errorf("want saltHex:sha256Hex")
	}
	salt, err := hex.DecodeString(saltHex)
	if err != nil || len(salt) < saltBytes || len(salt) > maxSalt {
		return KeyHash{}, fmt.Errorf("salt must be %d to %d bytes in hex", saltBytes, maxSalt)
	}
	hash, err := hex.DecodeString(hashHex)
	if err != nil || len(hash) != sha256.Size {
		return KeyHash{}, fmt.Errorf("hash must be %d bytes in hex", sha256.Size)
	}
	return KeyHash{Salt: salt, Hash: hash}, nil
}
