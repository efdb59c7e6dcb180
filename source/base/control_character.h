#ifndef WISTERIAYOKE_BASE_CONTROL_CHARACTER_H_
#define WISTERIAYOKE_BASE_CONTROL_CHARACTER_H_

namespace wisteriayoke {

/// Returns whether `byte` is a control character of ASCII.
constexpr bool IsControlCharacter(unsigned char byte) {
  constexpr unsigned char kDelete = 0x7f;
  return byte < ' ' || byte == kDelete;
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_CONTROL_CHARACTER_H_
