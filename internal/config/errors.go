package config

import "fmt"

// SettingError reports a platform setting that is missing or has an invalid value. Callers find
// it with errors.As.
type SettingError struct {
	// Name is the setting's path in the file, or the entry that it belongs to.
	Name string
	// Reason says what is wrong; Name and Reason read as one sentence.
	Reason string
	// Err is the error of the parser that rejected the value, if any.
	Err error
}

// Error implements error.
func (e *SettingError) Error() string { return "settings: " + e.Name + " " + e.Reason }

// Unwrap returns the parser's error.
func (e *SettingError) Unwrap() error { return e.Err }

func missingError(name string) error { return &SettingError{Name: name, Reason: "is missing"} }

func teamError(team, reason string) error {
	return &SettingError{Name: fmt.Sprintf("team %q", team), Reason: reason}
}

// OperatorError reports invalid operators' settings. Err is the error of the JSON decoder, or
// that of the schema validation, which names the setting.
type OperatorError struct{ Err error }

// Error implements error.
func (e *OperatorError) Error() string { return "operator settings: " + e.Err.Error() }

// Unwrap returns the error of the decoder or the schema validation.
func (e *OperatorError) Unwrap() error { return e.Err }
