package caller

import (
	"time"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
)

// maxAgeParameter is the name of the setting by which a caller lowers the age
// that its reads accept.
const maxAgeParameter = "chicoryline.max_age"

// maxAgeLimit is the age that a caller has stated for its own reads.
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

// acceptedMaxAge returns the age that a read accepts: the route's, or the
// caller's if that is lower.
func (s *session) acceptedMaxAge(route catalog.Route) time.Duration {
	if s.maxAge != nil && s.maxAge.age < route.MaxAge {
		return s.maxAge.age
	}
	return route.MaxAge
}
