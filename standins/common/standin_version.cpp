// Keeps the shared library of the stand-ins non-empty until it has more to share.
