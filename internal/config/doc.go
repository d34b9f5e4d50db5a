// Package config reads the two files that a controller is started with: the platform's settings
// (TOML) and the operators' own (JSON, checked against operator.schema.json).
//
// It owns the forms of both files, their defaults and the checks of their values. Settings come
// out in the field's terms, durations as time.Duration, sizes in bytes unless the name says
// otherwise. A file that is wrong is refused as a whole, by a SettingError or an OperatorError
// that names what is wrong in one line.
//
// The package must never change a setting after it was read, reach the network, or know what
// the settings are used for. It reads files in Load and LoadOperator alone.
package config
