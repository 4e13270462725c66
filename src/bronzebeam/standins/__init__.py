"""Small fakes of the systems that surround the product."""
