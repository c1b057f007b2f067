// Package mcsetting decodes and validates the settings file of an entry instance.
package mcsetting

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"marigoldcroft"
)

// Kind is the kind of a settings error.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// The kinds of settings errors.
const (
	KindRead    Kind = "cannot read settings"
	KindDecode  Kind = "malformed settings"
	KindInvalid Kind = "invalid settings"
)

// maxFileBytes limits the size of the settings file.
const maxFileBytes = 1 << 20

type (
	// Settings holds the settings of an entry instance, which are read when it starts. The
	// fields are exported because the YAML codec and the validator reach only exported
	// fields. The doc tags are the texts of the reference page.
	Settings struct {
		Deployment string `yaml:"deployment" validate:"required,max=64" doc:"id of the deployment; peers with another id are refused"`
		Region     string `yaml:"region" validate:"required,max=64" doc:"region of the data centre"`
		DataCentre string `yaml:"dataCentre" validate:"required,max=64" doc:"data centre of this instance"`
		Instance   string `yaml:"instance" validate:"required,max=64" doc:"name of this instance, unique in the deployment"`

		CallerAddress string `yaml:"callerAddress" validate:"required_without=Forward.Address,omitempty,hostname_port" doc:"IP and port that callers reach"`
		PeerAddress   string `yaml:"peerAddress" validate:"required,hostname_port" doc:"IP and port that peers reach (gRPC)"`
		AdminAddress  string `yaml:"adminAddress" validate:"required,hostname_port" doc:"IP and port for operators"`

		ObjectStore  string `yaml:"objectStore" validate:"required_without=Forward.Address,omitempty,http_url" doc:"base URL of the platform's object store"`
		InstanceList string `yaml:"instanceList" validate:"required_without=Forward.Address,omitempty,http_url" doc:"base URL of the platform's instance list"`

		Scheduler string       `yaml:"scheduler" validate:"oneof=lengthAware passModel roundRobin leastOutstanding lengthBlindFIFO" doc:"scheduling policy: lengthAware learns the engines' speeds, passModel takes the published ones; the last three are baselines for comparison"`
		Limits    Limits       `yaml:"limits" doc:"bounds on what callers may send"`
		Stop      StopSettings `yaml:"stop" doc:"planned stop"`
		TLS       TLSSettings  `yaml:"tls" doc:"mutual TLS between instances and to operators"`
		Trace     Trace        `yaml:"trace" doc:"export of trace spans"`
		Log       Log          `yaml:"log" doc:"log output"`
		Store     StoreBudget  `yaml:"store" doc:"share of the object store's rates that the whole deployment may use"`
		Forward   Forward      `yaml:"forward" doc:"forwarding on the users' platform, which takes the place of the callers' interface"`
	}

	// Forward holds the settings of an instance that forwards requests on the users'
	// platform in place of serving the callers' interface.
	Forward struct {
		Address       string        `yaml:"address" validate:"required_with=PlatformStore,omitempty,hostname_port" doc:"IP and port at which requests to forward arrive; empty: this instance does not forward"`
		ReadyAddress  string        `yaml:"readyAddress" validate:"required_with=Address,omitempty,hostname_port" doc:"IP and port at which the balancer asks whether the instance is ready"`
		PlatformStore string        `yaml:"platformStore" validate:"required_with=Address,omitempty,hostname_port" doc:"IP and port of the platform's metadata store"`
		Grace         time.Duration `yaml:"grace" validate:"min=0,max=10m" doc:"time between the signal to stop and the end of the process"`
		KeyLease      time.Duration `yaml:"keyLease" validate:"min=0,max=10m" doc:"time for which keys are honoured after the configuration was last confirmed"`
		RetryRatio    float64       `yaml:"retryRatio" validate:"min=0,max=1" doc:"repeats a request of a service, over all instances"`
		RetrySlack    float64       `yaml:"retrySlack" validate:"min=0,max=100000" doc:"repeats beside the ratio in a window, of all instances together"`
		RetryWindow   time.Duration `yaml:"retryWindow" validate:"min=0,max=10m" doc:"length of the window of the retry budget"`
		MemoryMB      int           `yaml:"memoryMB" validate:"min=0,max=1048576" doc:"memory of the process in MB, two fifths of which clients may make it hold; 0: not limited, and 256 MB for this share"`
		Instances     int           `yaml:"instances" validate:"min=0,max=10000" doc:"least number of instances that share the retry budget"`
		// EvacuationDelay is 0 where the operator does not ask for evacuations.
		EvacuationDelay   time.Duration     `yaml:"evacuationDelay" validate:"min=0,max=10m" doc:"time within which an evacuation of a data centre is in force; 0: evacuations are not followed"`
		DataCentreRegions map[string]string `yaml:"dataCentreRegions" validate:"max=256,dive,keys,required,max=128,endkeys,required,max=128" doc:"region of each data centre"`
		Yield             bool              `yaml:"yield" doc:"keep some engines for long work at a peak and let it wait within its objective (docs/design/yielding.md)"`
	}

	// Limits bounds the size and the number of requests from callers.
	Limits struct {
		MaxBodyBytes    int64         `yaml:"maxBodyBytes" validate:"min=1024,max=67108864" doc:"largest request body in bytes"`
		MaxHeaderBytes  int           `yaml:"maxHeaderBytes" validate:"min=1024,max=1048576" doc:"largest request header in bytes"`
		BodyReadTimeout time.Duration `yaml:"bodyReadTimeout" validate:"min=100ms,max=10m" doc:"time in which a caller must send its whole request"`
		MaxConnections  int           `yaml:"maxConnections" validate:"min=0,max=1000000" doc:"largest number of callers' connections at once; 0, or more than the process's limit of descriptors allows: what this allows"`
		MaxInFlight     int           `yaml:"maxInFlight" validate:"min=1,max=1000000" doc:"largest number of requests in this instance at once"`
		QueueLength     int           `yaml:"queueLength" validate:"min=1,max=1000000" doc:"largest number of admitted requests that wait in this instance"`
	}

	// StopSettings holds the time limits of a planned stop.
	StopSettings struct {
		LameDuck time.Duration `yaml:"lameDuck" validate:"min=0,max=10m" doc:"time for which an unready instance keeps its listener open"`
		Limit    time.Duration `yaml:"limit" validate:"min=0,max=24h" doc:"time after which a planned stop ends what still runs"`
	}

	// TLSSettings holds the paths of the files for mutual TLS. If all are empty, TLS is not
	// used.
	TLSSettings struct {
		CertificateFile string `yaml:"certificateFile" validate:"required_with=KeyFile,max=4096" doc:"certificate of this instance, PEM"`
		KeyFile         string `yaml:"keyFile" validate:"required_with=AuthorityFile,max=4096" doc:"private key of this instance, PEM"`
		AuthorityFile   string `yaml:"authorityFile" validate:"required_with=CertificateFile,max=4096" doc:"certificates that sign peers and operators, PEM"`
	}

	// Trace configures the export of trace spans.
	Trace struct {
		Exporter string  `yaml:"exporter" validate:"oneof=none stdout otlp" doc:"where spans go"`
		Endpoint string  `yaml:"endpoint" validate:"omitempty,hostname_port" doc:"IP and port of the OTLP collector (HTTP)"`
		Ratio    float64 `yaml:"ratio" validate:"min=0,max=1" doc:"share of requests whose spans are exported"`
	}

	// Log configures the log output.
	Log struct {
		Level string `yaml:"level" validate:"oneof=debug info warn error" doc:"least severe level that is written"`
	}

	// StoreBudget holds the call rates to the object store that the whole deployment may
	// use, and the time limit of one call.
	StoreBudget struct {
		WritesPerSecond float64       `yaml:"writesPerSecond" validate:"min=1,max=100000" doc:"writes a second of the whole deployment"`
		ReadsPerSecond  float64       `yaml:"readsPerSecond" validate:"min=1,max=100000" doc:"reads and watches a second of the whole deployment"`
		CallTimeout     time.Duration `yaml:"callTimeout" validate:"min=10ms,max=1m" doc:"time limit of one call"`
	}
)

// Default returns the default settings. The required fields have none.
func Default() Settings {
	return Settings{
		Scheduler: "lengthAware",
		Limits: Limits{
			MaxBodyBytes: 16 << 20, MaxHeaderBytes: 64 << 10,
			BodyReadTimeout: 30 * time.Second, MaxInFlight: 20000, QueueLength: 2000,
		},
		Stop:  StopSettings{LameDuck: 5 * time.Second, Limit: 5 * time.Minute},
		Trace: Trace{Exporter: "none", Ratio: 0.01},
		Log:   Log{Level: "info"},
		Store: StoreBudget{WritesPerSecond: 300, ReadsPerSecond: 1500, CallTimeout: 2 * time.Second},
		Forward: Forward{
			Grace: 8 * time.Second, KeyLease: 4500 * time.Millisecond, RetryRatio: 0.1, RetrySlack: 20, RetryWindow: 10 * time.Second, Instances: 6,
		},
	}
}

// Load reads, decodes and validates the settings file at path.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, marigoldcroft.NewFailure("load "+path, KindRead, err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return Settings{}, marigoldcroft.NewFailure("load "+path, KindRead, err)
	}
	return Decode(text)
}

// Decode decodes settings from YAML over the defaults and validates them. An unknown
// field is an error that contains its line number.
func Decode(text []byte) (Settings, error) {
	if len(text) > maxFileBytes {
		return Settings{}, marigoldcroft.NewFailure("decode", KindDecode,
			errors.Newf("the file is larger than %d bytes", maxFileBytes))
	}
	s := Default()
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, marigoldcroft.NewFailure("decode", KindDecode, errors.New(yaml.FormatError(err, false, true)))
	}
	if err := Check(&s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Check validates s. The error names each invalid field and the violated limit.
func Check(s *Settings) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	err := v.Struct(s)
	var fields validator.ValidationErrors
	if errors.As(err, &fields) {
		return marigoldcroft.NewFailure("check", KindInvalid, errors.New(describeFields(fields)))
	}
	if err != nil {
		return marigoldcroft.NewFailure("check", KindInvalid, err)
	}
	return nil
}

// describeFields lists the invalid fields with their values and the violated limits.
func describeFields(fields validator.ValidationErrors) string {
	lines := make([]string, 0, len(fields))
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		limit := f.Tag()
		if f.Param() != "" {
			limit += "=" + f.Param()
		}
		lines = append(lines, fmt.Sprintf("field %s: value %v breaks the limit %s", path, f.Value(), limit))
	}
	return strings.Join(lines, "; ")
}
