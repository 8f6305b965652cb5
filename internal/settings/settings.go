// Package settings parses and validates the INI file of one process. It reports all
// faults of the file, each with section, key and line.
package settings

import (
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
	"chicoryline/internal/inifile"
)

// Settings holds the settings of one serve process.
type Settings struct {
	VM     string
	Domain string
	// CallerListen, PeerListen and MetricsListen are host:port, where host is an IP address.
	CallerListen  string
	PeerListen    string
	MetricsListen string

	// PlatformURLs are the base addresses of the platform's HTTP service.
	PlatformURLs []string

	BackendUser     string
	BackendPassword string
	BackendDatabase string

	CallerCertificate, CallerKey     string
	PeerCertificate, PeerKey, PeerCA string

	LogLevel logrus.Level

	MaxMessageBytes int
	QueueTimeout    time.Duration
	RetryWindow     time.Duration
	DrainTimeout    time.Duration

	GrantLength   time.Duration
	ShareLease    time.Duration
	ProbeInterval time.Duration
	ProofLifetime time.Duration
	SuspectAfter  time.Duration
}

// Default returns the values of the settings that the file omits.
func Default() Settings {
	return Settings{
		BackendUser: "chicoryline", BackendDatabase: "postgres",
		LogLevel:        logrus.InfoLevel,
		MaxMessageBytes: 1 << 20,
		QueueTimeout:    2 * time.Second,
		RetryWindow:     3 * time.Second,
		DrainTimeout:    30 * time.Second,
		GrantLength:     3 * time.Second,
		ShareLease:      3 * time.Second,
		ProbeInterval:   50 * time.Millisecond,
		ProofLifetime:   500 * time.Millisecond,
		SuspectAfter:    250 * time.Millisecond,
	}
}

// Key describes one key of the file, for validation and for the manual.
type Key struct {
	Section  string
	Name     string
	Required bool
	// Meaning is a one-line description for the manual, including the unit.
	Meaning string
	set     func(*Settings, string) error
	get     func(*Settings) string
}

// Keys returns all valid keys in the order of the manual.
func Keys() []Key { return keys }

var keys = []Key{
	textKey("vm", "id", true, "id of this VM, unique in the fleet", func(s *Settings) *string { return &s.VM }, checkName),
	textKey("vm", "failure_domain", true, "failure domain of this VM", func(s *Settings) *string { return &s.Domain }, checkName),
	textKey("vm", "caller_listen", true, "IP:port for callers", func(s *Settings) *string { return &s.CallerListen }, checkAddress),
	textKey("vm", "peer_listen", true, "IP:port for other processes of the system", func(s *Settings) *string { return &s.PeerListen }, checkAddress),
	textKey("vm", "metrics_listen", false, "IP:port for metrics over HTTP; none when empty", func(s *Settings) *string { return &s.MetricsListen }, checkAddress),
	urlsKey("platform", "urls", func(s *Settings) *[]string { return &s.PlatformURLs }),
	textKey("backend", "user", false, "user towards backend servers", func(s *Settings) *string { return &s.BackendUser }, nil),
	textKey("backend", "password", false, "password towards backend servers", func(s *Settings) *string { return &s.BackendPassword }, nil),
	textKey("backend", "database", false, "database towards backend servers", func(s *Settings) *string { return &s.BackendDatabase }, nil),
	textKey("tls", "caller_certificate", false, "PEM file of the certificate shown to callers", func(s *Settings) *string { return &s.CallerCertificate }, nil),
	textKey("tls", "caller_key", false, "PEM file of its private key", func(s *Settings) *string { return &s.CallerKey }, nil),
	textKey("tls", "peer_certificate", false, "PEM file of the certificate shown to other processes", func(s *Settings) *string { return &s.PeerCertificate }, nil),
	textKey("tls", "peer_key", false, "PEM file of its private key", func(s *Settings) *string { return &s.PeerKey }, nil),
	textKey("tls", "peer_ca", false, "PEM file of the authority that signed the peers' certificates", func(s *Settings) *string { return &s.PeerCA }, nil),
	levelKey("log", "level", func(s *Settings) *logrus.Level { return &s.LogLevel }),
	intKey("limits", "max_message_bytes", "largest request of a caller, in bytes", 1024, 64<<20, func(s *Settings) *int { return &s.MaxMessageBytes }),
	durationKey("limits", "queue_timeout", "admission deadline in a backend server's queue", func(s *Settings) *time.Duration { return &s.QueueTimeout }),
	durationKey("limits", "retry_window", "how long a request that did not run is tried again", func(s *Settings) *time.Duration { return &s.RetryWindow }),
	durationKey("limits", "drain_timeout", "how long a planned stop waits for open transactions", func(s *Settings) *time.Duration { return &s.DrainTimeout }),
	durationKey("config", "grant_length", "length of a configuration grant", func(s *Settings) *time.Duration { return &s.GrantLength }),
	durationKey("config", "share_lease", "length of a lease on a share of a rate", func(s *Settings) *time.Duration { return &s.ShareLease }),
	durationKey("failover", "probe_interval", "pause between two probes of a backend server", func(s *Settings) *time.Duration { return &s.ProbeInterval }),
	durationKey("failover", "proof_lifetime", "age of a proof of leadership after which writes are refused", func(s *Settings) *time.Duration { return &s.ProofLifetime }),
	durationKey("failover", "suspect_after", "silence of a primary after which it is suspected", func(s *Settings) *time.Duration { return &s.SuspectAfter }),
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

func checkName(value string) error {
	if !namePattern.MatchString(value) {
		return errkind.New(errkind.InvalidSettings, "%q is not a name of letters, digits, '.', '_' and '-'", value)
	}
	return nil
}

func checkAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return errkind.New(errkind.InvalidSettings, "%q is not IP:port", value)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return errkind.New(errkind.InvalidSettings, "port %q is not in 0 to 65535", port)
	}
	return nil
}

func textKey(section, name string, required bool, meaning string, field func(*Settings) *string, check func(string) error) Key {
	set := func(s *Settings, value string) error {
		if check != nil {
			if err := check(value); err != nil {
				return err
			}
		}
		*field(s) = value
		return nil
	}
	return Key{Section: section, Name: name, Required: required, Meaning: meaning, set: set,
		get: func(s *Settings) string { return *field(s) }}
}

func urlsKey(section, name string, field func(*Settings) *[]string) Key {
	set := func(s *Settings, value string) error {
		for _, part := range strings.Split(value, ",") {
			part = strings.TrimSpace(part)
			u, err := url.Parse(part)
			if err != nil || (u.Scheme != "http" && u.Scheme != "https") || net.ParseIP(u.Hostname()) == nil {
				return errkind.New(errkind.InvalidSettings, "%q is not http://IP:port", part)
			}
			*field(s) = append(*field(s), part)
		}
		return nil
	}
	return Key{Section: section, Name: name, Required: true, Meaning: "base addresses of the platform's HTTP service, separated by commas", set: set,
		get: func(s *Settings) string { return strings.Join(*field(s), ", ") }}
}

func levelKey(section, name string, field func(*Settings) *logrus.Level) Key {
	set := func(s *Settings, value string) error {
		parsed, err := logrus.ParseLevel(value)
		if err != nil {
			return errkind.New(errkind.InvalidSettings, "%q is not a log level", value)
		}
		*field(s) = parsed
		return nil
	}
	return Key{Section: section, Name: name, Meaning: "log level: error, warning, info or debug", set: set,
		get: func(s *Settings) string { return field(s).String() }}
}

func intKey(section, name, meaning string, low, high int, field func(*Settings) *int) Key {
	set := func(s *Settings, value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < low || n > high {
			return errkind.New(errkind.InvalidSettings, "%q is not a number from %d to %d", value, low, high)
		}
		*field(s) = n
		return nil
	}
	return Key{Section: section, Name: name, Meaning: meaning, set: set,
		get: func(s *Settings) string { return strconv.Itoa(*field(s)) }}
}

// maxDuration is the upper bound of every duration in the file.
const maxDuration = time.Hour

func durationKey(section, name, meaning string, field func(*Settings) *time.Duration) Key {
	set := func(s *Settings, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 || d > maxDuration {
			return errkind.New(errkind.InvalidSettings, "%q is not a duration above 0 and up to %s, such as 500ms", value, maxDuration)
		}
		*field(s) = d
		return nil
	}
	return Key{Section: section, Name: name, Meaning: meaning, set: set,
		get: func(s *Settings) string { return field(s).String() }}
}

// DefaultValue returns the key's value if the file omits it.
func (k Key) DefaultValue() string {
	s := Default()
	return k.get(&s)
}

// Parse parses and validates the file. The error is errkind.InvalidSettings and lists all
// faults.
func Parse(data []byte) (Settings, error) {
	s := Default()
	sections, faults := inifile.Parse(data)
	seen := map[string]bool{}
	for _, section := range sections {
		for _, k := range section.Keys {
			setKey(&s, section, k, seen, &faults)
		}
		if !isKnownSection(section.Title) {
			faults.Add(section, inifile.Key{}, "unknown section")
		}
	}
	if len(sections) > 0 || len(faults) == 0 {
		checkRequired(seen, &faults)
		checkConsistency(s, &faults)
	}
	return s, faults.Err(errkind.InvalidSettings)
}

func setKey(s *Settings, section inifile.Section, k inifile.Key, seen map[string]bool, faults *inifile.Faults) {
	for _, known := range keys {
		if known.Section != section.Title || known.Name != k.Name {
			continue
		}
		seen[known.Section+"."+known.Name] = true
		if err := known.set(s, k.Value); err != nil {
			e, _ := errkind.As(err)
			faults.Add(section, k, "%s", e.Detail)
		}
		return
	}
	if isKnownSection(section.Title) {
		faults.Add(section, k, "unknown key")
	}
}

func isKnownSection(title string) bool {
	for _, k := range keys {
		if k.Section == title {
			return true
		}
	}
	return false
}

func checkRequired(seen map[string]bool, faults *inifile.Faults) {
	for _, k := range keys {
		if k.Required && !seen[k.Section+"."+k.Name] {
			faults.Add(inifile.Section{Title: k.Section}, inifile.Key{Name: k.Name}, "is required")
		}
	}
}

// checkConsistency reports values that contradict each other.
func checkConsistency(s Settings, faults *inifile.Faults) {
	add := func(section, key, format string, args ...any) {
		faults.Add(inifile.Section{Title: section}, inifile.Key{Name: key}, format, args...)
	}
	if (s.CallerCertificate == "") != (s.CallerKey == "") {
		add("tls", "caller_key", "caller_certificate and caller_key go together")
	}
	if (s.PeerCertificate == "") != (s.PeerKey == "") || (s.PeerCertificate == "") != (s.PeerCA == "") {
		add("tls", "peer_key", "peer_certificate, peer_key and peer_ca go together")
	}
	if s.ProofLifetime < 2*s.ProbeInterval {
		add("failover", "proof_lifetime", "is under twice the probe_interval %s", s.ProbeInterval)
	}
	if s.SuspectAfter < 2*s.ProbeInterval {
		add("failover", "suspect_after", "is under twice the probe_interval %s", s.ProbeInterval)
	}
}
