package catalog

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits on values.
const (
	// MaxRate is the maximum of rates (statements per second), bursts (statements)
	// and weights.
	MaxRate = 1e9
	// MaxAgeLimit is the maximum of a route's max_age.
	MaxAgeLimit = 24 * time.Hour
	// MinSecretBytes is the minimum length of the token secret.
	MinSecretBytes = 16
	// MaxSecretBytes is the maximum length of the token secret.
	MaxSecretBytes = 256
)

// keyPrefix is the prefix of the entries for a customer's keys. The value withdrawn
// removes a key.
const (
	keyPrefix = "key."
	withdrawn = "withdrawn"
)

// customerFields maps each key of a customer section, except for "key." entries, to
// the function that parses and sets its value.
var customerFields = map[string]func(*Customer, string) error{
	"rate":   func(c *Customer, v string) error { return parsePositive(v, &c.Rate) },
	"burst":  func(c *Customer, v string) error { return parsePositive(v, &c.Burst) },
	"weight": func(c *Customer, v string) error { return parsePositive(v, &c.Weight) },
}

// routeFields maps each key of a route section to the function that parses and sets
// its value.
var routeFields = map[string]func(*Route, string) error{
	"group":         func(r *Route, v string) error { return parseName(v, &r.Group) },
	"mode":          setMode,
	"max_age":       setMaxAge,
	"read_only":     func(r *Route, v string) error { return parseBool(v, &r.ReadOnly) },
	"open":          func(r *Route, v string) error { return parseBool(v, &r.Open) },
	"serve_cut_off": func(r *Route, v string) error { return parseBool(v, &r.ServeCutOff) },
	"customers":     setCustomers,
}

func parsePositive(text string, to *float64) error {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || f <= 0 || f > MaxRate {
		return fmt.Errorf("want a number above 0 and up to %g", float64(MaxRate))
	}
	*to = f
	return nil
}

func parseBool(text string, to *bool) error {
	if text != "true" && text != "false" {
		return fmt.Errorf("want true or false")
	}
	*to = text == "true"
	return nil
}

func parseName(text string, to *string) error {
	if !namePattern.MatchString(text) {
		return fmt.Errorf("name %q: want 1 to 63 letters, digits, '_', '.', '-'", text)
	}
	*to = text
	return nil
}

func setMode(r *Route, text string) error {
	mode := ReadMode(text)
	if mode != ReadPrimary && mode != ReadSession {
		return fmt.Errorf("want %s or %s", ReadPrimary, ReadSession)
	}
	r.Mode = mode
	return nil
}

func setMaxAge(r *Route, text string) error {
	age, err := time.ParseDuration(text)
	if err != nil || age < 0 || age > MaxAgeLimit {
		return fmt.Errorf("want a duration from 0s to %s", MaxAgeLimit)
	}
	r.MaxAge = age
	return nil
}

func setCustomers(r *Route, text string) error {
	seen := map[string]bool{}
	var list []string
	for _, field := range strings.FieldsFunc(text, func(c rune) bool { return c == ',' || c == ' ' }) {
		var customer string
		if err := parseName(field, &customer); err != nil {
			return err
		}
		if seen[customer] {
			return fmt.Errorf("customer %s is listed twice", customer)
		}
		seen[customer] = true
		list = append(list, customer)
	}
	slices.Sort(list)
	r.Customers = list
	return nil
}

func setSecret(text string, to *[]byte) error {
	secret, err := hex.DecodeString(text)
	if err != nil || len(secret) < MinSecretBytes || len(secret) > MaxSecretBytes {
		return fmt.Errorf("want %d to %d bytes in hex", MinSecretBytes, MaxSecretBytes)
	}
	*to = secret
	return nil
}

// setCustomerEntry sets one entry of a customer section, including "key." entries.
func setCustomerEntry(c *Customer, e entry) error {
	if set, ok := customerFields[e.key]; ok {
		return set(c, e.value)
	}
	keyName, ok := strings.CutPrefix(e.key, keyPrefix)
	if !ok {
		return fmt.Errorf("unknown key")
	}
	if err := parseName(keyName, &keyName); err != nil {
		return err
	}
	if e.value == withdrawn {
		delete(c.Keys, keyName)
		return nil
	}
	hash, err := ParseKeyHash(e.value)
	if err != nil {
		return err
	}
	c.Keys[keyName] = hash
	return nil
}

func setRouteEntry(r *Route, e entry) error {
	set, ok := routeFields[e.key]
	if !ok {
		return fmt.Errorf("unknown key")
	}
	return set(r, e.value)
}
