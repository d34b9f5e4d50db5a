package config

import "fmt"

// SettingError is a platform setting that is missing or that a controller can't work with.
// Callers find it with errors.As.
type SettingError struct {
	// Name is the setting's path in the file, or what it is a setting of.
	Name string
	// Reason completes a sentence that begins with the name.
	Reason string
	// Err is the error of the parser that refused the value, if one did.
	Err error
}

// Error implements error.
func (e *SettingError) Error() string { return "settings: " + e.Name + " " + e.Reason }

// Unwrap gives the parser's error.
func (e *SettingError) Unwrap() error { return e.Err }

func missingError(name string) error { return &SettingError{Name: name, Reason: "is missing"} }

func teamError(team, reason string) error {
	return &SettingError{Name: fmt.Sprintf("team %q", team), Reason: reason}
}

// OperatorError is what is wrong with the operators' settings: Err is the error of the JSON
// decoder, or that of the schema, which names the setting.
type OperatorError struct{ Err error }

// Error implements error.
func (e *OperatorError) Error() string { return "operator settings: " + e.Err.Error() }

// Unwrap gives the decoder's or the schema's error.
func (e *OperatorError) Unwrap() error { return e.Err }
