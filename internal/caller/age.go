package caller

import (
	"time"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
)

// maxAgeParameter is the session setting with which a caller lowers the maximum replica age
// that its reads accept.
const maxAgeParameter = "chicoryline.max_age"

// maxAgeLimit is the maximum replica age that a caller has set for its reads.
type maxAgeLimit struct{ age time.Duration }

func parseMaxAge(value string) (*maxAgeLimit, error) {
	if value == "" || value == "default" {
		return nil, nil
	}
	age, err := time.ParseDuration(value)
	if err != nil || age < 0 {
		return nil, errkind.New(errkind.ProtocolViolation, "%s needs a duration such as 500ms", maxAgeParameter)
	}
	return &maxAgeLimit{age: age}, nil
}

// acceptedMaxAge returns the maximum replica age of a read: the lower of the route's and the
// caller's.
func (s *session) acceptedMaxAge(route catalog.Route) time.Duration {
	if s.maxAge != nil && s.maxAge.age < route.MaxAge {
		return s.maxAge.age
	}
	return route.MaxAge
}
