package mcpeer

import (
	"fmt"
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"marigoldcroft"
)

// Validate checks that the required fields of a message are set and that every field is
// within its limits. The error names the first invalid field and its limit.
func Validate(message proto.Message) error {
	if err := validate(message.ProtoReflect()); err != nil {
		return marigoldcroft.NewFailure("validate "+string(message.ProtoReflect().Descriptor().Name()), KindInvalidMessage, err)
	}
	return nil
}

func validate(m protoreflect.Message) error {
	descriptor := m.Descriptor()
	name := string(descriptor.Name())
	for _, field := range requiredFields[name] {
		if !m.Has(descriptor.Fields().ByName(protoreflect.Name(field))) {
			return errors.Newf("field %s.%s is missing", name, field)
		}
	}
	if err := validateEqualLengths(m, name); err != nil {
		return err
	}
	fields := descriptor.Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		path := name + "." + string(field.Name())
		bound, listed := fieldLimits[path]
		if !listed {
			bound = defaultLimit(field)
		}
		if !m.Has(field) {
			if bound.minSize > 0 {
				return errors.Newf("field %s is empty, it must have at least %d bytes", path, bound.minSize)
			}
			continue
		}
		if err := validateField(path, field, m.Get(field), bound); err != nil {
			return err
		}
	}
	return nil
}

func defaultLimit(field protoreflect.FieldDescriptor) fieldLimit {
	bound := fieldLimit{maxCount: defaultMaxCount}
	switch field.Kind() {
	case protoreflect.StringKind:
		bound.maxSize = defaultMaxStringSize
	case protoreflect.BytesKind:
		bound.maxSize = defaultMaxBytesSize
	}
	return bound
}

// validateEqualLengths checks that the fields listed in equalLengthFields have the same number
// of elements.
func validateEqualLengths(m protoreflect.Message, name string) error {
	fields := equalLengthFields[name]
	for i, field := range fields {
		first := m.Get(m.Descriptor().Fields().ByName(protoreflect.Name(fields[0]))).List().Len()
		n := m.Get(m.Descriptor().Fields().ByName(protoreflect.Name(field))).List().Len()
		if n != first {
			return errors.Newf("field %s.%s has %d elements, it must have as many as %s: %d", name, fields[i], n, fields[0], first)
		}
	}
	return nil
}

func validateField(path string, field protoreflect.FieldDescriptor, value protoreflect.Value, bound fieldLimit) error {
	if !field.IsList() {
		return validateValue(path, field, value, bound)
	}
	elements := value.List()
	if elements.Len() > bound.maxCount {
		return errors.Newf("field %s has %d elements, the limit is %d", path, elements.Len(), bound.maxCount)
	}
	for i := range elements.Len() {
		if err := validateValue(path, field, elements.Get(i), bound); err != nil {
			return err
		}
	}
	return nil
}

// validateValue checks one value. Negative numbers are allowed only in zigzag-encoded fields,
// which hold differences.
func validateValue(path string, field protoreflect.FieldDescriptor, value protoreflect.Value, bound fieldLimit) error {
	switch field.Kind() {
	case protoreflect.MessageKind:
		return validate(value.Message())
	case protoreflect.StringKind:
		return validateSize(path, len(value.String()), bound)
	case protoreflect.BytesKind:
		return validateSize(path, len(value.Bytes()), bound)
	case protoreflect.EnumKind:
		if field.Enum().Values().ByNumber(value.Enum()) == nil {
			return errors.Newf("field %s has the value %d, which %s does not define", path, value.Enum(), field.Enum().Name())
		}
		return nil
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind, protoreflect.Fixed32Kind, protoreflect.Fixed64Kind:
		return validateNumber(path, float64(value.Uint()), 0, bound)
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		return validateNumber(path, float64(value.Int()), 0, bound)
	case protoreflect.Sint32Kind, protoreflect.Sint64Kind:
		return validateNumber(path, float64(value.Int()), -bound.maxValue, bound)
	case protoreflect.FloatKind, protoreflect.DoubleKind:
		if math.IsNaN(value.Float()) || math.IsInf(value.Float(), 0) {
			return errors.Newf("field %s is not a finite number", path)
		}
		return validateNumber(path, value.Float(), 0, bound)
	default:
		return nil
	}
}

func validateSize(path string, size int, bound fieldLimit) error {
	if size < bound.minSize || size > bound.maxSize {
		return errors.Newf("field %s has %d bytes, the limits are %d and %d", path, size, bound.minSize, bound.maxSize)
	}
	return nil
}

func validateNumber(path string, value, minimum float64, bound fieldLimit) error {
	if bound.maxValue == 0 && value >= 0 || value >= minimum && value <= bound.maxValue {
		return nil
	}
	return errors.Newf("field %s has the value %s, the limits are %s and %s", path,
		fmt.Sprintf("%.0f", value), fmt.Sprintf("%.0f", minimum), fmt.Sprintf("%.0f", bound.maxValue))
}
