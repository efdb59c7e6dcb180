#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_CHILD_PATH_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_CHILD_PATH_H_

#include <string>

namespace wisteriayoke {

/// The first name of a path in the supervisor tree and the rest of the path.
struct ChildPath {
  std::string name;
  std::string rest;  ///< Empty if the path ends with `name`.
};

/// Splits `path` at its first "/".
inline ChildPath SplitChildPath(const std::string& path) {
  const std::size_t slash = path.find('/');
  if (slash == std::string::npos) return {path, ""};
  return {path.substr(0, slash), path.substr(slash + 1)};
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_CHILD_PATH_H_
