// Compiles the parts of Boost.URL that its headers only declare.
#include <boost/url/src.hpp>
